#include "promise_checks.hpp"

#include <algorithm>
#include <map>
#include <set>

#include <camphortide/coordination/request/key_registry.hpp>
#include <camphortide/standin/statement_language.hpp>

namespace camphortide::load
{

namespace
{

bool is_write(request_record const& attempt)
{
    return attempt.m_request.m_kind != transport::traffic_kind::read &&
           !attempt.m_key.empty();
}

/// @return a statement that only this request sends; empty if there is none
std::string unique_statement(request_record const& attempt)
{
    for (auto const& statement : attempt.m_request.m_statements)
    {
        if (statement.starts_with("claim ") || statement.starts_with("set "))
        {
            return statement;
        }
    }
    return {};
}

void check_outcome(request_record const& attempt, group_truth const& truth,
                   std::vector<promise_break>& out)
{
    bool const ran = !truth.effects(logged_key(attempt)).empty();
    if (attempt.m_outcome == state::outcome::executed && !ran)
    {
        out.push_back({promise::acknowledged_writes_stay,
                       "the write was told executed and is not in the log",
                       {attempt}});
    }
    bool const told_not = attempt.m_outcome == state::outcome::not_executed ||
                          attempt.m_told == state::outcome::not_executed;
    if (told_not && ran)
    {
        out.push_back({promise::not_executed_is_true,
                       "the write was told not executed and is in the log",
                       {attempt}});
    }
}

void check_once(history const& attempts, group_truth const& truth,
                std::vector<promise_break>& out)
{
    std::set<std::uint64_t> records;
    for (auto const& attempt : attempts)
    {
        auto const& effects = truth.effects(logged_key(attempt));
        records.insert(effects.begin(), effects.end());
    }
    auto const& same = truth.records_with(unique_statement(attempts.front()));
    records.insert(same.begin(), same.end());
    if (records.size() > 1)
    {
        out.push_back({promise::at_most_once,
                       "the request's effect stands " +
                           std::to_string(records.size()) + " times in the log",
                       attempts});
    }
}

using attempts_by_key = std::map<std::string, request_record const*>;

void check_records(group_truth const& truth, attempts_by_key const& attempts,
                   std::vector<promise_break>& out)
{
    for (auto const& record : truth.log())
    {
        auto const found = attempts.find(record.m_key);
        bool const ours = !record.m_barrier && found != attempts.end();
        if (ours &&
            record.m_statements != found->second->m_request.m_statements)
        {
            out.push_back({promise::unmixed_transactions,
                           "the record of the key holds other statements, " +
                               std::to_string(record.m_statements.size()) +
                               " of them",
                           {*found->second}});
        }
    }
}

/// @return true if an executed write's own value has to be its result
bool states_value(std::string const& statement)
{
    return statement.starts_with("claim ") || statement.starts_with("set ");
}

std::string value_of(std::string const& statement)
{
    auto const row = standin::statement_key(statement);
    auto const at = statement.find(row) + row.size();
    return at < statement.size() ? statement.substr(at + 1) : std::string();
}

} // namespace

group_truth const* truth_of(run_facts const& facts, std::string const& group)
{
    auto const found =
        std::ranges::find(facts.m_truths, group, &group_truth::group);
    return found == facts.m_truths.end() ? nullptr : &*found;
}

std::string logged_key(request_record const& attempt)
{
    return coordination::scoped_key(attempt.m_request.m_owner, attempt.m_key);
}

void check_writes(run_facts const& facts, std::vector<promise_break>& out)
{
    std::map<std::uint64_t, history> requests;
    std::map<std::string, attempts_by_key> by_group;
    for (auto const& attempt : facts.m_history)
    {
        auto const* const truth = truth_of(facts, attempt.m_request.m_group);
        if (!is_write(attempt) || truth == nullptr)
        {
            continue;
        }
        check_outcome(attempt, *truth, out);
        requests[attempt.m_request.m_number].push_back(attempt);
        by_group[attempt.m_request.m_group][logged_key(attempt)] = &attempt;
    }
    for (auto const& [number, attempts] : requests)
    {
        auto const& group = attempts.front().m_request.m_group;
        check_once(attempts, *truth_of(facts, group), out);
    }
    for (auto const& truth : facts.m_truths)
    {
        check_records(truth, by_group[truth.group()], out);
    }
}

void check_answers(run_facts const& facts, std::vector<promise_break>& out)
{
    std::map<std::string, std::string> rows_of_values;
    for (auto const& attempt : facts.m_history)
    {
        for (auto const& statement : attempt.m_request.m_statements)
        {
            if (states_value(statement))
            {
                rows_of_values[value_of(statement)] =
                    standin::statement_key(statement);
            }
        }
    }
    for (auto const& attempt : facts.m_history)
    {
        auto const& statements = attempt.m_request.m_statements;
        if (attempt.m_outcome != state::outcome::executed ||
            statements.size() != 1)
        {
            continue;
        }
        bool const wrong_write =
            states_value(statements.front()) &&
            attempt.m_result != value_of(statements.front());
        auto const writer = rows_of_values.find(attempt.m_result);
        bool const wrong_read =
            writer != rows_of_values.end() &&
            writer->second != standin::statement_key(statements.front());
        if (wrong_write || wrong_read)
        {
            out.push_back({promise::own_answers,
                           "the answer is not to the caller's own request",
                           {attempt}});
        }
    }
}

} // namespace camphortide::load
