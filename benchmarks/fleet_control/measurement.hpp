#pragma once

#include "simulated_fleet.hpp"

#include <cstddef>
#include <string>
#include <vector>

#include <camphortide/state/clock.hpp>

inline constexpr camphortide::state::duration settling_time{60'000};
/// Until all news of the start is passed on.
inline constexpr camphortide::state::duration long_settling_time{180'000};
/// The longest time that is waited for.
inline constexpr camphortide::state::duration max_wait{300'000};
inline constexpr camphortide::state::duration outage_time{120'000};
inline constexpr double kilobyte = 1000;

/// What is to be measured.
struct measurement_settings
{
    std::vector<std::size_t> m_nodes;
    std::vector<std::size_t> m_databases;
    std::size_t m_repeats = 0;
    std::string
        m_case_filter; ///< a part of the names of the timed cases wanted
};

/// @return the time in seconds
double seconds(camphortide::state::duration value);

/// Prints least, median and most of some times as a row.
/// @param name of the row
/// @param values the times, not empty
void print_spread(char const* name,
                  std::vector<camphortide::state::duration> values);

/// @return true if a timed case is to be run
bool is_selected(measurement_settings const& settings, std::string const& name);

/// What all nodes did since their counts were reset.
struct totals
{
    double m_bytes = 0;
    double m_max_bytes = 0;
    double m_messages = 0;
    double m_calls = 0;
    double m_store_bytes = 0;
    double m_cpu = 0;
    double m_max_cpu = 0;
};

/// @return the counts of all nodes
totals sum_counts(simulated_fleet const& fleet);

/// Prints bytes, messages, store calls, CPU and memory of a node.
void measure_costs(measurement_settings const& settings);

/// Prints how long an accepted change takes to be in force everywhere.
void measure_propagation(std::size_t nodes,
                         measurement_settings const& settings);

/// Prints how long changes of the membership take to be known.
void measure_membership(std::size_t nodes,
                        measurement_settings const& settings);

/// Prints how many homes a change of the membership moves.
void measure_movements(measurement_settings const& settings);
