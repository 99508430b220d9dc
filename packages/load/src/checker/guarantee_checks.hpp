#pragma once

#include <vector>

#include <camphortide/load/checker/guarantee_violation.hpp>
#include <camphortide/load/checker/run_observations.hpp>

namespace camphortide::load
{

/// @return the log of a group; null if none was taken
group_log const* find_group_log(run_observations const& observed,
                                std::string const& group);

/// @return the key of an attempt as a log holds it
std::string logged_key(request_record const& attempt);

/// Finds acknowledged writes that are lost, effects that stand twice, effects
/// of what was not executed, and mixed transactions.
void check_writes(run_observations const& observed,
                  std::vector<guarantee_violation>& violations);

/// Finds answers that belong to another request.
void check_answers(run_observations const& observed,
                   std::vector<guarantee_violation>& violations);

/// Finds violations of a session's order and of the age of answers.
void check_reads(run_observations const& observed,
                 std::vector<guarantee_violation>& violations);

/// Finds work for leavers, unclean stops and faults of the catalogue.
void check_fleet(run_observations const& observed,
                 std::vector<guarantee_violation>& violations);

} // namespace camphortide::load
