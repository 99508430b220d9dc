#pragma once

#include "control_fleet.hpp"

#include <cstddef>
#include <string>
#include <vector>

#include <camphortide/state/clock.hpp>

inline constexpr camphortide::state::duration settling{60'000};
/// Until all news of the start is passed on.
inline constexpr camphortide::state::duration long_settling{180'000};
/// The longest time that is waited for.
inline constexpr camphortide::state::duration limit{300'000};
inline constexpr camphortide::state::duration outage{120'000};
inline constexpr double kilobyte = 1000;

/// What is to be measured.
struct sizes
{
    std::vector<std::size_t> m_nodes;
    std::vector<std::size_t> m_databases;
    std::size_t m_repeats = 0;
    std::string m_case; ///< a part of the names of the timed cases wanted
};

/// @return the time in seconds
double seconds(camphortide::state::duration value);

/// Prints least, median and most of some times as a row.
/// @param name of the row
/// @param values the times, not empty
void print_spread(char const* name,
                  std::vector<camphortide::state::duration> values);

/// @return true if a timed case is to be run
bool wants_case(sizes const& wanted, std::string const& name);

/// What all nodes did since their counts were reset.
struct totals
{
    double m_bytes = 0;
    double m_most_bytes = 0;
    double m_messages = 0;
    double m_calls = 0;
    double m_store_bytes = 0;
    double m_cpu = 0;
    double m_most_cpu = 0;
};

/// @return the counts of all nodes
totals sum_up(control_fleet const& fleet);

/// Prints bytes, messages, store calls, CPU and memory of a node.
void measure_costs(sizes const& wanted);

/// Prints how long an accepted change takes to be in force everywhere.
void measure_propagation(std::size_t nodes, sizes const& wanted);

/// Prints how long changes of the membership take to be known.
void measure_membership(std::size_t nodes, sizes const& wanted);

/// Prints how many homes a change of the membership moves.
void measure_movements(sizes const& wanted);
