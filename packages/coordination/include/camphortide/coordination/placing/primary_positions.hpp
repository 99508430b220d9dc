#pragma once

#include <compare>
#include <cstdint>
#include <deque>
#include <optional>

#include <camphortide/state/clock.hpp>
#include <camphortide/state/log_position.hpp>

namespace camphortide::coordination
{

/// A session's last commit.
struct session_position
{
    std::uint64_t m_term = 0; ///< of the primary that acknowledged it
    state::log_position m_position;

    friend auto operator<=>(session_position const&,
                            session_position const&) = default;
};

/// Positions of a group's log with the time by which it held them: at the
/// sending of a request that the permitted primary answered, its log had at
/// least what the answer states. Every commit acknowledged before that time
/// is in the log up to there.
class primary_positions
{
public:
    /// Least time between two positions that are kept.
    static constexpr state::duration min_interval{20};
    /// Longest age that is kept; several times the staleness of any route.
    static constexpr state::duration max_age{10000};

    /// Forgets the positions of earlier primaries. A new primary's log may
    /// still end in a record of an earlier term, so that the term of a
    /// position doesn't tell under which primary it was seen.
    void begin_term(std::uint64_t term);

    /// Takes an answer of the primary of the present term.
    /// @param sent when its request was sent
    void note(state::log_position position, state::time_point sent);

    /// @return a position that holds every commit acknowledged before a time;
    ///     the lowest that is known, or nothing
    std::optional<state::log_position> covering(state::time_point time) const;

    /// @return about when the log reached a position; nothing if it isn't
    ///     known to have
    std::optional<state::time_point>
    reached_at(state::log_position position) const;

    /// @return the first position known of this term
    std::optional<state::log_position> const& first() const { return m_first; }

    /// Replaces a session's position of an earlier term: what a promotion
    /// rolled back is in no log any more.
    /// @return the position to ask members for; nothing while it isn't known
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
    std::deque<sample> m_samples; ///< rising in both
};

} // namespace camphortide::coordination
