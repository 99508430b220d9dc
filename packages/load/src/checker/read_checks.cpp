#include "guarantee_checks.hpp"

#include <algorithm>
#include <map>
#include <utility>

#include <camphortide/standin/statement_language.hpp>

namespace camphortide::load
{

namespace
{

/// The latest record of a group that a session wrote and that it read. Later
/// reads of the session must not return older data.
struct session_reads
{
    std::uint64_t m_last_write = 0; ///< record of its latest write
    request_record const* m_write_attempt = nullptr;
    std::uint64_t m_last_read = 0; ///< latest record that it read
    request_record const* m_read_attempt = nullptr;
};

/// The acknowledged attempt that wrote each record of one group.
using writers = std::map<std::uint64_t, request_record const*>;

class read_checker
{
public:
    read_checker(run_observations const& observed,
                 std::vector<guarantee_violation>& violations)
        : m_observed(observed),
          m_violations(violations)
    {
        for (auto const& attempt : observed.m_history)
        {
            record_writer(attempt);
            m_ordered.push_back(&attempt);
        }
        std::ranges::stable_sort(m_ordered, {}, &request_record::m_sent);
    }

    void run()
    {
        for (auto const* const attempt : m_ordered)
        {
            auto const* const log =
                find_group_log(m_observed, attempt->m_request.m_group);
            if (log == nullptr ||
                attempt->m_outcome != state::outcome::executed)
            {
                continue;
            }
            if (attempt->m_request.m_kind == transport::traffic_kind::read)
            {
                check_read(*attempt, *log);
                continue;
            }
            check_transaction_reads(*attempt, *log);
            record_own_write(*attempt, *log);
        }
    }

private:
    void record_writer(request_record const& attempt)
    {
        auto const* const log =
            find_group_log(m_observed, attempt.m_request.m_group);
        if (log == nullptr || attempt.m_key.empty() ||
            attempt.m_outcome != state::outcome::executed)
        {
            return;
        }
        for (auto const index : log->records_with_key(logged_key(attempt)))
        {
            m_writers[log->group()][index] = &attempt;
        }
    }

    session_reads& session_of(request_record const& attempt)
    {
        return m_sessions[{attempt.m_request.m_session,
                           attempt.m_request.m_group}];
    }

    void record_own_write(request_record const& attempt, group_log const& log)
    {
        auto const& indices = log.records_with_key(logged_key(attempt));
        auto& session = session_of(attempt);
        if (!indices.empty() && indices.front() > session.m_last_write)
        {
            session.m_last_write = indices.front();
            session.m_write_attempt = &attempt;
        }
    }

    /// Checks the reads of a committed transaction.
    void check_transaction_reads(request_record const& attempt,
                                 group_log const& log)
    {
        auto const& statements = attempt.m_request.m_statements;
        auto const count =
            std::min(statements.size(), attempt.m_results.size());
        for (std::size_t at = 0; at < count; ++at)
        {
            if (statements[at].starts_with("get "))
            {
                check_value(attempt, log, statements[at],
                            attempt.m_results[at]);
            }
        }
    }

    void check_read(request_record const& attempt, group_log const& log)
    {
        check_value(attempt, log, attempt.m_request.m_statements.front(),
                    attempt.m_result);
    }

    void check_value(request_record const& attempt, group_log const& log,
                     std::string const& statement, std::string const& value)
    {
        auto const row = standin::statement_key(statement);
        auto const span = log.find(row, value);
        auto& session = session_of(attempt);
        if (!span)
        {
            report(guarantee::monotonic_reads,
                   "the value that was read is not in the row's history",
                   {&attempt});
            return;
        }
        if (span->m_until && *span->m_until <= session.m_last_write)
        {
            report(guarantee::read_your_writes,
                   "the read does not see the session's own write",
                   {session.m_write_attempt, &attempt});
        }
        else if (span->m_until && *span->m_until <= session.m_last_read)
        {
            report(guarantee::monotonic_reads,
                   "the read sees less than the session's read before",
                   {session.m_read_attempt, &attempt});
        }
        check_age(attempt, log, *span);
        if (span->m_from > session.m_last_read)
        {
            session.m_last_read = span->m_from;
            session.m_read_attempt = &attempt;
        }
    }

    /// @return the maximum age of the data of a read: the one that the request
    ///     allows, if any; otherwise 0, or nothing if the token that was sent
    ///     named the group or tokens were not decoded. Always 0 for a
    ///     transaction, which reads from the primary.
    static std::optional<run_time> max_age(request_record const& attempt)
    {
        if (attempt.m_request.m_kind == transport::traffic_kind::transaction)
        {
            return run_time{0};
        }
        if (attempt.m_request.m_max_age)
        {
            return *attempt.m_request.m_max_age;
        }
        bool const current = attempt.m_tokens_decoded && !attempt.m_token_sent;
        return current ? std::optional(run_time{0}) : std::nullopt;
    }

    void check_age(request_record const& attempt, group_log const& log,
                   version_span const& span)
    {
        if (!span.m_until)
        {
            return;
        }
        auto const& writers_by_record = m_writers[log.group()];
        auto const writer = writers_by_record.find(*span.m_until);
        if (writer == writers_by_record.end())
        {
            return;
        }
        // The data was overwritten before its writer was answered, and read
        // after the request was sent, so this is a lower bound of the age.
        run_time const age = attempt.m_sent - writer->second->m_answered;
        auto const allowed = max_age(attempt);
        bool const stated =
            attempt.m_request.m_kind == transport::traffic_kind::read &&
            attempt.m_request.m_max_age.has_value();
        if (allowed && age > *allowed)
        {
            report(guarantee::age_of_answers,
                   "the read's data is older than its entry allows",
                   {writer->second, &attempt});
        }
        else if (stated && age > run_time(attempt.m_age))
        {
            report(guarantee::age_of_answers,
                   "the read's data is older than the answer states",
                   {writer->second, &attempt});
        }
    }

    void report(guarantee violated, std::string explanation,
                std::vector<request_record const*> const& attempts)
    {
        history shown;
        for (auto const* const attempt : attempts)
        {
            shown.push_back(*attempt);
        }
        m_violations.push_back(
            {violated, std::move(explanation), std::move(shown)});
    }

    run_observations const& m_observed;
    std::vector<guarantee_violation>& m_violations;
    std::vector<request_record const*> m_ordered;
    std::map<std::string, writers> m_writers;
    std::map<std::pair<std::string, std::string>, session_reads> m_sessions;
};

} // namespace

void check_reads(run_observations const& observed,
                 std::vector<guarantee_violation>& violations)
{
    read_checker(observed, violations).run();
}

} // namespace camphortide::load
