#pragma once

#include <vector>

#include <camphortide/load/checker/promise_break.hpp>
#include <camphortide/load/checker/run_facts.hpp>

namespace camphortide::load
{

/// @return the truth of a group; null if none was taken
group_truth const* truth_of(run_facts const& facts, std::string const& group);

/// @return the key of an attempt as a log holds it
std::string logged_key(request_record const& attempt);

/// Finds acknowledged writes that are lost, effects that stand twice, effects
/// of what was not executed, and mixed transactions.
void check_writes(run_facts const& facts, std::vector<promise_break>& out);

/// Finds answers that belong to another request.
void check_answers(run_facts const& facts, std::vector<promise_break>& out);

/// Finds breaks of a session's order and of the age of answers.
void check_reads(run_facts const& facts, std::vector<promise_break>& out);

/// Finds work for leavers, unclean stops and faults of the catalogue.
void check_fleet(run_facts const& facts, std::vector<promise_break>& out);

} // namespace camphortide::load
