#include "guarantee_checks.hpp"

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

/// @return true if only one request sends the statement, and its result, when
///     executed, must be the value that it contains
bool is_unique(std::string const& statement)
{
    return statement.starts_with("claim ") || statement.starts_with("set ");
}

/// @return the first statement that no other request sends; empty if there is
///     none
std::string unique_statement(request_record const& attempt)
{
    auto const& all = attempt.m_request.m_statements;
    auto const found = std::ranges::find_if(all, is_unique);
    return found == all.end() ? std::string() : *found;
}

bool was_reported_not_executed(request_record const& attempt)
{
    return attempt.m_outcome == state::outcome::not_executed ||
           attempt.m_first_outcome == state::outcome::not_executed;
}

void check_outcome(request_record const& attempt, group_log const& log,
                   std::vector<guarantee_violation>& violations)
{
    bool const has_record = !log.records_with_key(logged_key(attempt)).empty();
    if (attempt.m_outcome == state::outcome::executed && !has_record)
    {
        violations.push_back(
            {guarantee::acknowledged_writes_stay,
             "the write was told executed and is not in the log",
             {attempt}});
    }
    if (was_reported_not_executed(attempt) && has_record)
    {
        violations.push_back(
            {guarantee::not_executed_is_true,
             "the write was told not executed and is in the log",
             {attempt}});
    }
}

void check_at_most_once(history const& attempts, group_log const& log,
                        std::vector<guarantee_violation>& violations)
{
    std::set<std::uint64_t> records;
    for (auto const& attempt : attempts)
    {
        auto const& indices = log.records_with_key(logged_key(attempt));
        records.insert(indices.begin(), indices.end());
    }
    bool const has_keyed_record = !records.empty();
    auto const& same =
        log.records_containing(unique_statement(attempts.front()));
    records.insert(same.begin(), same.end());
    bool const all_refused =
        std::ranges::all_of(attempts, &was_reported_not_executed);
    if (all_refused && !has_keyed_record && !same.empty())
    {
        violations.push_back(
            {guarantee::not_executed_is_true,
             "a statement of a request that was told not executed "
             "is in the log",
             attempts});
    }
    if (records.size() > 1)
    {
        violations.push_back({guarantee::at_most_once,
                              "the request's effect stands " +
                                  std::to_string(records.size()) +
                                  " times in the log",
                              attempts});
    }
}

using attempts_by_key = std::map<std::string, request_record const*>;
using attempts_by_statement = std::map<std::string, request_record const*>;

/// @return true if the record holds only some of the attempt's statements, in
///     order, and no others
bool is_partial(standin::record const& record, request_record const& attempt)
{
    auto next = attempt.m_request.m_statements.begin();
    auto const end = attempt.m_request.m_statements.end();
    for (auto const& statement : record.m_statements)
    {
        next = std::find(next, end, statement);
        if (next == end)
        {
            return false;
        }
        ++next;
    }
    return record.m_statements.size() < attempt.m_request.m_statements.size();
}

void check_record(standin::record const& record, request_record const& attempt,
                  std::vector<guarantee_violation>& violations)
{
    if (record.m_statements == attempt.m_request.m_statements)
    {
        return;
    }
    auto const count = std::to_string(record.m_statements.size());
    if (is_partial(record, attempt))
    {
        violations.push_back(
            {guarantee::whole_transactions,
             "the record of the key holds only " + count + " of the statements",
             {attempt}});
        return;
    }
    violations.push_back(
        {guarantee::unmixed_transactions,
         "the record of the key holds other statements, " + count + " of them",
         {attempt}});
}

/// Finds statements of known requests in a record whose key matches no request.
void check_unmatched_record(standin::record const& record,
                            attempts_by_statement const& senders,
                            std::vector<guarantee_violation>& violations)
{
    for (auto const& statement : record.m_statements)
    {
        auto const sender = senders.find(statement);
        if (sender != senders.end())
        {
            violations.push_back(
                {guarantee::unmixed_transactions,
                 "a statement is in a record of another key, \"" +
                     record.m_key + '"',
                 {*sender->second}});
        }
    }
}

attempts_by_statement senders_of(attempts_by_key const& attempts)
{
    attempts_by_statement result;
    for (auto const& [key, attempt] : attempts)
    {
        for (auto const& statement : attempt->m_request.m_statements)
        {
            if (is_unique(statement))
            {
                result[statement] = attempt;
            }
        }
    }
    return result;
}

void check_records(group_log const& log, attempts_by_key const& attempts,
                   std::vector<guarantee_violation>& violations)
{
    auto const senders = senders_of(attempts);
    for (auto const& record : log.records())
    {
        auto const found = attempts.find(record.m_key);
        if (record.m_barrier)
        {
            continue;
        }
        if (found == attempts.end())
        {
            check_unmatched_record(record, senders, violations);
            continue;
        }
        check_record(record, *found->second, violations);
    }
}

/// A statement and the result that was reported to its caller.
struct reported_result
{
    std::string m_statement;
    std::string m_result;
};

/// @return the results that were reported for an executed request; empty for a
///     transaction whose results were lost
std::vector<reported_result> reported_results(request_record const& attempt)
{
    auto const& statements = attempt.m_request.m_statements;
    std::vector<reported_result> result;
    if (attempt.m_request.m_kind != transport::traffic_kind::transaction)
    {
        result.push_back({statements.front(), attempt.m_result});
        return result;
    }
    auto const count = std::min(statements.size(), attempt.m_results.size());
    for (std::size_t at = 0; at < count; ++at)
    {
        result.push_back({statements[at], attempt.m_results[at]});
    }
    return result;
}

std::string value_of(std::string const& statement)
{
    auto const row = standin::statement_key(statement);
    auto const at = statement.find(row) + row.size();
    return at < statement.size() ? statement.substr(at + 1) : std::string();
}

using rows_by_value = std::map<std::string, std::string>;

/// @return true if the result can't belong to the statement
bool is_of_another_request(reported_result const& reported,
                           rows_by_value const& rows)
{
    if (is_unique(reported.m_statement) &&
        reported.m_result != value_of(reported.m_statement))
    {
        return true;
    }
    auto const writer = rows.find(reported.m_result);
    return writer != rows.end() &&
           writer->second != standin::statement_key(reported.m_statement);
}

} // namespace

group_log const* find_group_log(run_observations const& observed,
                                std::string const& group)
{
    auto const found =
        std::ranges::find(observed.m_group_logs, group, &group_log::group);
    return found == observed.m_group_logs.end() ? nullptr : &*found;
}

std::string logged_key(request_record const& attempt)
{
    return coordination::scoped_key(attempt.m_request.m_customer,
                                    attempt.m_key);
}

void check_writes(run_observations const& observed,
                  std::vector<guarantee_violation>& violations)
{
    std::map<std::uint64_t, history> requests;
    std::map<std::string, attempts_by_key> by_group;
    for (auto const& attempt : observed.m_history)
    {
        auto const* const log =
            find_group_log(observed, attempt.m_request.m_group);
        if (!is_write(attempt) || log == nullptr)
        {
            continue;
        }
        check_outcome(attempt, *log, violations);
        requests[attempt.m_request.m_number].push_back(attempt);
        by_group[attempt.m_request.m_group][logged_key(attempt)] = &attempt;
    }
    for (auto const& [number, attempts] : requests)
    {
        auto const& group = attempts.front().m_request.m_group;
        check_at_most_once(attempts, *find_group_log(observed, group),
                           violations);
    }
    for (auto const& log : observed.m_group_logs)
    {
        check_records(log, by_group[log.group()], violations);
    }
}

void check_answers(run_observations const& observed,
                   std::vector<guarantee_violation>& violations)
{
    rows_by_value rows;
    for (auto const& attempt : observed.m_history)
    {
        for (auto const& statement : attempt.m_request.m_statements)
        {
            if (is_unique(statement))
            {
                rows[value_of(statement)] = standin::statement_key(statement);
            }
        }
    }
    for (auto const& attempt : observed.m_history)
    {
        if (attempt.m_outcome != state::outcome::executed)
        {
            continue;
        }
        auto const reported = reported_results(attempt);
        bool const wrong =
            std::ranges::any_of(reported, [&rows](reported_result const& each)
                                { return is_of_another_request(each, rows); });
        if (wrong)
        {
            violations.push_back(
                {guarantee::own_answers,
                 "the answer is not to the caller's own request",
                 {attempt}});
        }
    }
}

} // namespace camphortide::load
