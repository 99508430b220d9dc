#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include <camphortide/coordination/request/keyed_request.hpp>

namespace camphortide::coordination
{

/// The next step of one tracked request.
struct write_step
{
    std::uint64_t m_request = 0;
    keyed_step m_step;

    friend auto operator<=>(write_step const&, write_step const&) = default;
};

/// Tracks the pending writes, commits and outcome queries of one group. A
/// change of the log is applied only to the requests that it can decide.
class write_tracker
{
public:
    using steps = std::vector<write_step>;

    /// Adds a write or commit that has not been sent.
    /// @param request an identifier that is not in use
    /// @param key see keyed_request::write
    /// @param end when the caller stops waiting
    void add_write(std::uint64_t request, std::string key, deadline end);

    /// Adds an outcome query; RESOLVE has to be sent for it.
    /// @param request an identifier that is not in use
    /// @param key the key scoped by its customer
    /// @param end when the caller stops waiting
    void add_outcome_query(std::uint64_t request, std::string key,
                           deadline end);

    /// Records that the request, or RESOLVE for it, is handed to a connection.
    /// @param request the request
    /// @param term the term that the statement carries
    void note_sent(std::uint64_t request, state::term term);

    /// Handles a member's answer. A finishing step is the last one of its
    /// request; later answers to that request produce none.
    keyed_step answered(std::uint64_t request, keyed_answer const& answer);

    /// Handles the loss of the connection that a request was sent on.
    keyed_step connection_lost(std::uint64_t request);

    /// Handles a change of the primary's log.
    /// @return the steps of all requests that the change decides; if the
    ///     primary changed, also RESOLVE for all that it may have left
    ///     undecided
    steps log_changed(log_view const& log);

    /// Ends a request because its caller left or it is refused.
    keyed_step abandon(std::uint64_t request, state::reason why);

    /// Ends every request whose deadline is reached.
    steps expire(state::time_point now);

    /// @return the request; null if it has finished
    keyed_request const* find(std::uint64_t request) const;

    std::size_t size() const { return m_requests.size(); }

private:
    using indexed_request = std::pair<std::uint64_t, std::uint64_t>;

    void add(std::uint64_t request, keyed_request value);
    void unindex(std::uint64_t request, keyed_request const& value);
    keyed_step reindex(std::uint64_t request, keyed_step step);
    void collect_safe(std::vector<std::uint64_t>& requests) const;
    void collect_all(std::vector<std::uint64_t>& requests) const;
    template <typename Input>
    keyed_step apply(std::uint64_t request, Input const& input);

    log_view m_log;
    std::unordered_map<std::uint64_t, keyed_request> m_requests;
    std::set<indexed_request> m_unsafe; ///< index of the record, request
    std::set<std::pair<state::time_point, std::uint64_t>> m_deadlines;
};

} // namespace camphortide::coordination
