#pragma once

#include "deployment.hpp"
#include "scheduler.hpp"

#include <cstdint>
#include <vector>

/// Results of the requests of one class.
struct class_result
{
    std::size_t m_offered = 0; ///< without retries
    std::size_t m_in_time = 0;
    std::size_t m_late = 0;
    std::size_t m_refused = 0;
    double m_useful_ms = 0;           ///< service time of requests in time
    std::vector<double> m_latency_ms; ///< of served requests
    std::vector<double> m_refusal_ms; ///< time from arrival to refusal
};

/// Load that is offered to the slots.
struct offered_load
{
    std::vector<double> m_loads; ///< relative to the slots' capacity, by class
    double m_duration_ms = 0;
    /// Retry refused requests once, after the reported delay.
    bool m_retries = false;
};

/// Runs a deployment's traffic against a scheduler.
/// @param seed seed of the arrivals and the service times
/// @return the results by class
std::vector<class_result> simulate(deployment const& target,
                                   scheduler& tested_scheduler,
                                   offered_load const& load,
                                   std::uint64_t seed);
