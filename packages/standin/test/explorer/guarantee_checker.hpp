#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <camphortide/standin/member_model.hpp>
#include <camphortide/state/clock.hpp>

namespace camphortide::standin
{

/// What callers are promised.
enum class guarantee
{
    one_primary,      ///< a term has at most one primary
    no_lost_writes,   ///< an acknowledged record is in every later primary
    at_most_once,     ///< a key takes effect once
    not_executed,     ///< what was told not executed has no effect, ever
    stable_reads,     ///< a released read saw records that stay
    correct_reads,    ///< a released value is that of the log at its position
    read_your_writes, ///< a session's reads do not go back
    valid_token,      ///< a token that was given out is not refused
    age,              ///< a read is no older than stated
    convergence       ///< a healed group has one primary and equal logs
};

std::string to_string(guarantee value);

/// Keeps what callers were told, and checks it against the members' logs.
class guarantee_checker
{
public:
    /// Looks at a member after it may have changed.
    void check_member(std::size_t member, member_model const& model);

    /// A write was acknowledged.
    /// @param term the term in which its record was found safe
    void note_acknowledged(std::string const& key, state::term term,
                           state::log_position position, state::time_point now);

    /// A caller was told that a request has not run and will not.
    void note_not_executed(std::string const& key);

    /// A read was released.
    /// @param term the term in which its position was found safe
    /// @param required the least index that the session may see
    /// @param fresh_from the answer holds all that was acknowledged before
    void note_released(state::term term, state::log_position position,
                       std::uint64_t value, std::uint64_t min_index,
                       std::optional<state::time_point> fresh_from);

    /// Checks all that was told against the log of a healed group.
    void finish(std::deque<record> const& log);

    /// Notes a broken promise; the first one is kept.
    void note_violation(guarantee value);

    std::optional<guarantee> violation() const { return m_violation; }
    std::size_t acknowledged_writes() const { return m_acknowledged.size(); }
    std::size_t released_reads() const { return m_released.size(); }
    std::size_t primaries() const { return m_primaries.size(); }

private:
    struct primary_start
    {
        std::size_t m_member = 0;
        std::vector<state::term> m_log; ///< the records' terms at its start
    };
    struct acknowledged_write
    {
        std::string m_key;
        state::log_position m_position;
        state::time_point m_acknowledged_at;
    };
    struct released_read
    {
        state::log_position m_position;
        std::uint64_t m_value = 0;
    };

    void check_duplicate_keys(std::deque<record> const& log);
    void check_later_primaries(state::term term, state::log_position position,
                               guarantee value);

    std::map<state::term, primary_start> m_primaries;
    std::map<std::size_t, state::log_position> m_checked_positions;
    std::vector<acknowledged_write> m_acknowledged;
    std::vector<std::pair<state::term, state::log_position>> m_safe_writes;
    std::vector<std::pair<state::term, state::log_position>> m_safe_reads;
    std::vector<std::string> m_not_executed;
    std::vector<released_read> m_released;
    std::optional<guarantee> m_violation;
};

} // namespace camphortide::standin
