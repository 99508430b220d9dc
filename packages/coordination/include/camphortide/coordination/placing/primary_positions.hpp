#pragma once

#include <compare>
#include <cstdint>
#include <deque>
#include <optional>

#include <camphortide/state/clock.hpp>
#include <camphortide/state/log_position.hpp>

namespace camphortide::coordination
{

/// Position of a session's last commit.
struct session_position
{
    /// Term of the primary that acknowledged the commit.
    std::uint64_t m_term = 0;
    state::log_position m_position;

    friend auto operator<=>(session_position const&,
                            session_position const&) = default;
};

/// Positions of a group's log, each with a time at which the log had reached
/// it. An answer of the permitted primary states a position that its log had
/// reached; every commit that was acknowledged before the request was sent is
/// at or below it.
class primary_positions
{
public:
    /// Minimum interval between two kept samples of the same position.
    static constexpr state::duration min_interval{20};
    /// Maximum age of kept samples; several times the staleness that any route
    /// allows.
    static constexpr state::duration max_age{10000};

    /// Discards the positions seen under earlier primaries. A new primary's log
    /// may still end in a record of an earlier term, so the term of a position
    /// doesn't identify the primary that reported it.
    void begin_term(std::uint64_t term);

    /// Records an answer of the current term's primary.
    /// @param sent when the request was sent
    void note(state::log_position position, state::time_point sent);

    /// @return the lowest known position that includes every commit
    ///     acknowledged before a time; nothing if none is known
    std::optional<state::log_position> covering(state::time_point time) const;

    /// @return approximately when the log reached a position; nothing if it
    ///     isn't known to have reached it
    std::optional<state::time_point>
    reached_at(state::log_position position) const;

    /// @return the first known position of the current term
    std::optional<state::log_position> const& first() const { return m_first; }

    /// Replaces a session's position of an earlier term by the first position
    /// of the current one: commits that a promotion rolled back are in no log.
    /// @return the position that members must have; nothing while it isn't
    ///     known
    std::optional<state::log_position>
    current(session_position const& session) const;

    std::uint64_t term() const { return m_term; }

private:
    struct sample
    {
        state::log_position m_position;
        state::time_point m_sent;
    };

    std::uint64_t m_term = 0;
    std::optional<state::log_position> m_first;
    /// Ascending in position and time.
    std::deque<sample> m_samples;
};

} // namespace camphortide::coordination
