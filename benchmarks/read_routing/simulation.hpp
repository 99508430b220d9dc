#pragma once

#include "deployment.hpp"
#include "group_log.hpp"

#include <array>
#include <cstdint>
#include <queue>
#include <random>
#include <string_view>
#include <vector>

#include <camphortide/coordination/request/accept_read.hpp>
#include <camphortide/coordination/request/apply_lag.hpp>
#include <camphortide/coordination/request/read_router.hpp>

namespace camphortide::benchmark
{

/// Measured results of one strategy.
struct routing_results
{
    std::size_t m_reads = 0;
    std::size_t m_from_replica = 0;
    /// Reads that some replica could have served on arrival, whether or not
    /// the home had learned it.
    std::size_t m_replica_eligible = 0;
    std::size_t m_retries = 0;
    std::size_t m_refused = 0;
    std::size_t m_too_old = 0; ///< data older than the maximum age
    std::vector<double> m_latency_ms;
};

/// Simulates one home that routes reads to a group.
class simulation
{
public:
    simulation(deployment const& parameters, lag_setting const& lag,
               std::string_view strategy, std::uint64_t seed);

    /// Runs the simulation.
    routing_results run();

private:
    enum class event_kind
    {
        arrival,
        route,
        answer,
        write,
        probe,
        status
    };

    struct event
    {
        double m_ms = 0;
        std::uint64_t m_order = 0;
        event_kind m_kind = event_kind::arrival;
        std::size_t m_subject =
            0; ///< index of a read or a write, or number of a probe

        bool operator<(event const& other) const
        {
            return m_ms != other.m_ms ? m_ms > other.m_ms
                                      : m_order > other.m_order;
        }
    };

    struct read
    {
        coordination::read_requirement m_requirement;
        double m_arrival_ms = 0;
        std::size_t m_class = 0;
        std::size_t m_session = 0;
        std::size_t m_member = 0;
        std::uint64_t m_random = 0;
        std::uint64_t m_position = 0;
        bool m_primary_next = false;
        bool m_waiting = false;
    };

    using handler = void (simulation::*)(std::size_t);

    void schedule(double ms, event_kind kind, std::size_t subject);
    void on_arrival(std::size_t);
    void on_route(std::size_t subject);
    void on_answer(std::size_t subject);
    void on_write(std::size_t index);
    void on_probe(std::size_t number);
    void on_status(std::size_t number);
    void process_answer(std::size_t subject);
    double occupy(std::size_t member, double ms);
    void set_applied(std::size_t member, std::uint64_t index);
    bool replica_could_serve(read const& value) const;
    std::size_t pick_class();
    coordination::log_view log() const;
    state::time_point now() const;

    deployment m_parameters;
    std::mt19937_64 m_random;
    group_log m_log;
    coordination::read_router m_router;
    coordination::freshness m_samples{group_log::members};
    std::array<coordination::apply_lag, group_log::members> m_lags;
    std::vector<coordination::member_view> m_members;
    std::vector<std::vector<double>>
        m_slots; ///< time at which each is free, by member
    std::vector<std::vector<std::uint64_t>> m_tokens; ///< by class and session
    std::vector<read> m_reads;
    std::vector<std::size_t> m_held;
    std::vector<std::size_t> m_waiting;
    std::priority_queue<event> m_events;
    std::uint64_t m_order = 0;
    double m_now = 0;
    routing_results m_results;
};

} // namespace camphortide::benchmark
