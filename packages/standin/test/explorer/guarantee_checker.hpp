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

/// The guarantees that the schedules check.
enum class guarantee
{
    one_primary,      ///< a term has at most one primary
    no_lost_writes,   ///< later primaries have every acknowledged record
    at_most_once,     ///< a key is executed at most once
    not_executed,     ///< a write reported as not executed never is
    stable_reads,     ///< later primaries have the records of a released read
    correct_reads,    ///< a released value matches the log at its position
    read_your_writes, ///< a session never reads a lower position
    valid_token,      ///< no issued session token is refused
    age,              ///< a read is not older than reported
    convergence       ///< a healed group gets one primary and equal logs
};

std::string to_string(guarantee value);

/// Records the results that callers got and checks them against the logs of
/// the members.
class guarantee_checker
{
public:
    /// Checks a member that may have changed, if it is a primary.
    void check_member(std::size_t member, member_model const& model);

    /// Records an acknowledged write.
    /// @param term term in which its record became safe
    void note_acknowledged(std::string const& key, state::term term,
                           state::log_position position, state::time_point now);

    /// Records a write that was reported as not executed.
    void note_not_executed(std::string const& key);

    /// Records a read whose answer was returned to its caller.
    /// @param term term in which its position became safe
    /// @param min_index lowest index that the session may read
    /// @param fresh_from the read must include every write acknowledged before
    ///     this time; nothing if no age is reported
    void note_released(state::term term, state::log_position position,
                       std::uint64_t value, std::uint64_t min_index,
                       std::optional<state::time_point> fresh_from);

    /// Checks all recorded results against the log of a healed group.
    void finish(std::deque<record> const& log);

    /// Records a violation; only the first one is kept.
    void note_violation(guarantee value);

    std::optional<guarantee> violation() const { return m_violation; }
    std::size_t acknowledged_writes() const { return m_acknowledged.size(); }
    std::size_t released_reads() const { return m_released.size(); }
    std::size_t primaries() const { return m_primaries.size(); }

private:
    struct primary_start
    {
        std::size_t m_member = 0;
        /// Terms of the records in its log when it was first seen as primary.
        std::vector<state::term> m_log;
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
    /// Records a violation if a primary of a higher term lacks a position.
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
