#pragma once

#include "deployment.hpp"
#include "scheduler.hpp"

#include <cstdint>
#include <vector>

/// What befell the requests of one class.
struct class_result
{
    std::size_t m_offered = 0; ///< first tries
    std::size_t m_in_time = 0;
    std::size_t m_late = 0;
    std::size_t m_refused = 0;
    double m_useful_ms = 0;           ///< work of those in time
    std::vector<double> m_latency_ms; ///< of those served
    std::vector<double> m_refusal_ms; ///< from arrival to refusal
};

/// What is offered to the slots.
struct offered_load
{
    std::vector<double> m_loads; ///< of the slots' capacity, by class
    double m_duration_ms = 0;
    bool m_retries = false; ///< refused clients come back once, as told
};

/// Runs a deployment's traffic against a scheduler.
/// @param seed of the arrivals and the service times
/// @return the results by class
std::vector<class_result> simulate(deployment const& target,
                                   scheduler& tested_scheduler,
                                   offered_load const& load,
                                   std::uint64_t seed);
