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

/// A step of one of the requests that a tracker follows.
struct write_step
{
    std::uint64_t m_request = 0;
    keyed_step m_step;

    friend auto operator<=>(write_step const&, write_step const&) = default;
};

/// Follows the writes, commits and questions of one group that are under
/// way. A change of the log touches only the requests that it decides.
class write_tracker
{
public:
    using steps = std::vector<write_step>;

    /// Takes a write or commit that is not sent yet.
    /// @param request a number that is not in use
    void add_write(std::uint64_t request, std::string key, deadline end);

    /// Takes a outcome_query about a key; RESOLVE is to be sent for it.
    /// @param request a number that is not in use
    void add_outcome_query(std::uint64_t request, std::string key,
                           deadline end);

    /// Notes that the request, or RESOLVE for it, is handed to a connection.
    /// @param term the one that the statement names
    void note_sent(std::uint64_t request, state::term term);

    /// Takes a member's answer. A step of a request that finishes is its
    /// last; late answers to a finished one yield none.
    keyed_step answered(std::uint64_t request, keyed_answer const& answer);

    /// Takes the loss of the connection that a request was sent on.
    keyed_step connection_lost(std::uint64_t request);

    /// Takes a change of the primary's log.
    /// @return the steps of all requests that it decides; if the primary
    ///     changed, also RESOLVE for all that it may have left undecided
    steps log_changed(log_view const& log);

    /// Ends the wait for a request, because the caller left or it was
    /// refused.
    keyed_step abandon(std::uint64_t request, state::reason why);

    /// Ends the wait for every request whose deadline has come.
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
