#pragma once

#include <vector>

#include <camphortide/load/checker/guarantee_violation.hpp>
#include <camphortide/load/checker/run_observations.hpp>

namespace camphortide::load
{

/// @return the log of a group; null if it was not collected
group_log const* find_group_log(run_observations const& observed,
                                std::string const& group);

/// @return the key of an attempt as it is logged
std::string logged_key(request_record const& attempt);

/// Finds lost acknowledged writes, requests that ran twice, records of requests
/// that were reported as not executed, and mixed or partial transactions.
void check_writes(run_observations const& observed,
                  std::vector<guarantee_violation>& violations);

/// Finds answers that belong to another request.
void check_answers(run_observations const& observed,
                   std::vector<guarantee_violation>& violations);

/// Finds violations of the session guarantees and of the age of answers.
void check_reads(run_observations const& observed,
                 std::vector<guarantee_violation>& violations);

/// Finds work for leaving members, interruptions by planned stops and
/// violations of the propagation of the catalogue.
void check_fleet(run_observations const& observed,
                 std::vector<guarantee_violation>& violations);

} // namespace camphortide::load
