#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include <camphortide/state/clock.hpp>

namespace camphortide::benchmark
{

/// Reads of one kind.
struct read_class
{
    std::string m_name;
    double m_read_fraction = 0; ///< of all reads
    std::optional<state::duration> m_max_age;
    std::size_t m_sessions = 0; ///< 0: each read is a session of its own
    bool m_writes = false;      ///< its sessions make the writes
};

/// The size of one group and its traffic.
struct deployment
{
    std::string m_name;
    double m_client_ms = 0;  ///< one way
    double m_network_ms = 0; ///< one way, between home and member
    double m_service_ms = 0; ///< mean time of a statement in a slot
    std::size_t m_slots = 0;
    std::size_t m_connections = 0;
    double m_reads_per_second = 0;
    double m_writes_per_second = 0;
    std::vector<read_class> m_classes;
};

/// How far the two replicas are behind on average.
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

/// @return the same group with more reads than two replicas serve with ease
deployment at_peak(deployment parameters);

/// @return the lags that are compared
std::vector<lag_setting> lag_settings();

} // namespace camphortide::benchmark
