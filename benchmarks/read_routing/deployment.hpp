#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include <camphortide/state/clock.hpp>

namespace camphortide::benchmark
{

/// A class of reads.
struct read_class
{
    std::string m_name;
    double m_read_fraction = 0; ///< share of all reads
    std::optional<state::duration> m_max_age;
    std::size_t m_sessions = 0; ///< 0: each read has its own session
    bool m_writes = false;      ///< its sessions also write
};

/// Parameters of one group and its traffic.
struct deployment
{
    std::string m_name;
    double m_client_ms = 0;  ///< one-way latency to the client
    double m_network_ms = 0; ///< one-way latency between home and member
    double m_service_ms = 0; ///< mean service time of a statement
    std::size_t m_slots = 0;
    std::size_t m_connections = 0;
    double m_reads_per_second = 0;
    double m_writes_per_second = 0;
    std::vector<read_class> m_classes;
};

/// Mean lags of the two replicas.
struct lag_setting
{
    std::string m_name;
    double m_first_ms = 0;
    double m_second_ms = 0;
};

/// @return the toy library's group
deployment toy_library();

/// @return the dealers' group
deployment dealers();

/// @return the same group with a read rate that uses 90 % of the capacity of
/// two
///     replicas
deployment at_peak(deployment parameters);

/// @return the compared lags
std::vector<lag_setting> lag_settings();

} // namespace camphortide::benchmark
