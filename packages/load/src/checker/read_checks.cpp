#include "promise_checks.hpp"

#include <algorithm>
#include <map>
#include <utility>

#include <camphortide/standin/statement_language.hpp>

namespace camphortide::load
{

namespace
{

/// What a session has to see of one group.
struct session_view
{
    std::uint64_t m_written = 0; ///< record of its last own write
    request_record const* m_writer = nullptr;
    std::uint64_t m_seen = 0; ///< record that it has read
    request_record const* m_reader = nullptr;
};

/// The acknowledged writer of each record of one group.
using writers = std::map<std::uint64_t, request_record const*>;

class read_checker
{
public:
    read_checker(run_facts const& facts, std::vector<promise_break>& out)
        : m_facts(facts),
          m_out(out)
    {
        for (auto const& attempt : facts.m_history)
        {
            note_writer(attempt);
            m_ordered.push_back(&attempt);
        }
        std::ranges::stable_sort(m_ordered, {}, &request_record::m_sent);
    }

    void run()
    {
        for (auto const* const attempt : m_ordered)
        {
            auto const* const truth =
                truth_of(m_facts, attempt->m_request.m_group);
            if (truth == nullptr ||
                attempt->m_outcome != state::outcome::executed)
            {
                continue;
            }
            if (attempt->m_request.m_kind == transport::traffic_kind::read)
            {
                check_read(*attempt, *truth);
                continue;
            }
            check_reads_within(*attempt, *truth);
            note_own_write(*attempt, *truth);
        }
    }

private:
    void note_writer(request_record const& attempt)
    {
        auto const* const truth = truth_of(m_facts, attempt.m_request.m_group);
        if (truth == nullptr || attempt.m_key.empty() ||
            attempt.m_outcome != state::outcome::executed)
        {
            return;
        }
        for (auto const index : truth->effects(logged_key(attempt)))
        {
            m_writers[truth->group()][index] = &attempt;
        }
    }

    session_view& view(request_record const& attempt)
    {
        return m_views[{attempt.m_request.m_session,
                        attempt.m_request.m_group}];
    }

    void note_own_write(request_record const& attempt, group_truth const& truth)
    {
        auto const& effects = truth.effects(logged_key(attempt));
        auto& seen = view(attempt);
        if (!effects.empty() && effects.front() > seen.m_written)
        {
            seen.m_written = effects.front();
            seen.m_writer = &attempt;
        }
    }

    /// Checks the reads of a transaction that was committed.
    void check_reads_within(request_record const& attempt,
                            group_truth const& truth)
    {
        auto const& statements = attempt.m_request.m_statements;
        auto const count =
            std::min(statements.size(), attempt.m_results.size());
        for (std::size_t at = 0; at < count; ++at)
        {
            if (statements[at].starts_with("get "))
            {
                check_value(attempt, truth, statements[at],
                            attempt.m_results[at]);
            }
        }
    }

    void check_read(request_record const& attempt, group_truth const& truth)
    {
        check_value(attempt, truth, attempt.m_request.m_statements.front(),
                    attempt.m_result);
    }

    void check_value(request_record const& attempt, group_truth const& truth,
                     std::string const& statement, std::string const& value)
    {
        auto const row = standin::statement_key(statement);
        auto const span = truth.find(row, value);
        auto& seen = view(attempt);
        if (!span)
        {
            report(promise::monotonic_reads,
                   "the value that was read is not in the row's history",
                   {&attempt});
            return;
        }
        if (span->m_until && *span->m_until <= seen.m_written)
        {
            report(promise::read_your_writes,
                   "the read does not see the session's own write",
                   {seen.m_writer, &attempt});
        }
        else if (span->m_until && *span->m_until <= seen.m_seen)
        {
            report(promise::monotonic_reads,
                   "the read sees less than the session's read before",
                   {seen.m_reader, &attempt});
        }
        check_age(attempt, truth, *span);
        if (span->m_from > seen.m_seen)
        {
            seen.m_seen = span->m_from;
            seen.m_reader = &attempt;
        }
    }

    /// The age that the promises allow the read's data: none without an age
    /// in the request, unless the session's token names the group. A
    /// transaction reads from the primary.
    static std::optional<run_time> allowed_age(request_record const& attempt)
    {
        if (attempt.m_request.m_kind == transport::traffic_kind::transaction)
        {
            return run_time{0};
        }
        if (attempt.m_request.m_age_allowed)
        {
            return *attempt.m_request.m_age_allowed;
        }
        bool const current = attempt.m_tokens_known && !attempt.m_token_sent;
        return current ? std::optional(run_time{0}) : std::nullopt;
    }

    void check_age(request_record const& attempt, group_truth const& truth,
                   version_span const& span)
    {
        if (!span.m_until)
        {
            return;
        }
        auto const& known = m_writers[truth.group()];
        auto const writer = known.find(*span.m_until);
        if (writer == known.end())
        {
            return;
        }
        // The data was replaced before the writer's answer came, and read
        // after the request was sent: a lower bound of the age.
        run_time const age = attempt.m_sent - writer->second->m_answered;
        auto const allowed = allowed_age(attempt);
        bool const stated =
            attempt.m_request.m_kind == transport::traffic_kind::read &&
            attempt.m_request.m_age_allowed.has_value();
        if (allowed && age > *allowed)
        {
            report(promise::age_of_answers,
                   "the read's data is older than its entry allows",
                   {writer->second, &attempt});
        }
        else if (stated && age > run_time(attempt.m_age))
        {
            report(promise::age_of_answers,
                   "the read's data is older than the answer states",
                   {writer->second, &attempt});
        }
    }

    void report(promise broken, std::string explanation,
                std::vector<request_record const*> const& attempts)
    {
        history shown;
        for (auto const* const attempt : attempts)
        {
            shown.push_back(*attempt);
        }
        m_out.push_back({broken, std::move(explanation), std::move(shown)});
    }

    run_facts const& m_facts;
    std::vector<promise_break>& m_out;
    std::vector<request_record const*> m_ordered;
    std::map<std::string, writers> m_writers;
    std::map<std::pair<std::string, std::string>, session_view> m_views;
};

} // namespace

void check_reads(run_facts const& facts, std::vector<promise_break>& out)
{
    read_checker(facts, out).run();
}

} // namespace camphortide::load
