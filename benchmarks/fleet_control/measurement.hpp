#pragma once

#include "simulated_fleet.hpp"

#include <cstddef>
#include <string>
#include <vector>

#include <camphortide/state/clock.hpp>

inline constexpr camphortide::state::duration settling_time{60'000};
/// Time until gossip about the start of the fleet has spread to all nodes.
inline constexpr camphortide::state::duration long_settling_time{180'000};
/// Timeout of each measurement.
inline constexpr camphortide::state::duration max_wait{300'000};
inline constexpr camphortide::state::duration outage_time{120'000};
inline constexpr double kilobyte = 1000;

/// Command-line settings of the measurements.
struct measurement_settings
{
    std::vector<std::size_t> m_nodes;
    std::vector<std::size_t> m_databases;
    std::size_t m_repeats = 0;
    std::string m_case_filter; ///< run only timed cases whose name contains it
};

/// @return the time in seconds
double seconds(camphortide::state::duration value);

/// Prints the minimum, median and maximum of some durations as a table row.
/// @param name label of the row
/// @param values the durations, not empty
void print_spread(char const* name,
                  std::vector<camphortide::state::duration> values);

/// @return true if the settings select a timed case
bool is_selected(measurement_settings const& settings, std::string const& name);

/// Sums and maxima over all nodes since their counts were reset.
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

/// @return the sums and maxima of the counts of all nodes
totals sum_counts(simulated_fleet const& fleet);

/// Prints the traffic, messages, store calls, CPU and memory use of a node.
void measure_costs(measurement_settings const& settings);

/// Prints the time from the acceptance of a catalogue change until it is in
/// force on all nodes.
void measure_propagation(std::size_t nodes,
                         measurement_settings const& settings);

/// Prints how long membership changes take to reach all nodes.
void measure_membership(std::size_t nodes,
                        measurement_settings const& settings);

/// Prints how many homes move after a membership change.
void measure_movements(measurement_settings const& settings);
