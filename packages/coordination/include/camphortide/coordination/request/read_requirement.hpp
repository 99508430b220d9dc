#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string_view>

#include <camphortide/coordination/request/deadline.hpp>
#include <camphortide/coordination/request/freshness.hpp>
#include <camphortide/state/session_token.hpp>

namespace camphortide::coordination
{

/// What the consistency guarantees require of the answer to one read.
struct read_requirement
{
    /// Where a read may be served.
    enum class source
    {
        any,         ///< any member whose answer is accepted
        primary,     ///< the primary
        current_data ///< the primary, confirmed after the read arrived
    };

    /// Position in the session's token.
    std::optional<state::log_position> m_covered;
    /// Zero: as current as on arrival.
    std::optional<state::duration> m_max_age;
    source m_source = source::primary;
    /// Time from release until the caller has the answer.
    state::duration m_delivery_time{};
    state::time_point m_arrival;
    deadline m_deadline;

    friend auto operator<=>(read_requirement const&,
                            read_requirement const&) = default;

    /// @return the index that the session's token requires; 0 if none
    std::uint64_t covered_index() const;

    /// @return the answer must include every write acknowledged before this
    ///     time; nothing if no age is required
    std::optional<state::time_point>
    required_as_of(state::time_point now) const;

    /// Computes an upper bound of the age of an answer when the caller receives
    /// it.
    /// @param current the answer includes every write acknowledged before this
    ///     time
    /// @param now when the answer is released
    state::duration age_at_delivery(state::time_point current,
                                    state::time_point now) const;

    /// Finds the index that an answer must cover to be released at a time.
    /// @return the index; nothing while no sample covers the required time
    std::optional<std::uint64_t>
    required_index_at(freshness const& samples,
                      state::time_point release) const;
};

/// Computes the requirement of a read.
/// @param token the session's token
/// @param group the name of the group that is read
/// @param max_age the age that the class or the request allows, if any
/// @param now when the read arrived
/// @param end the deadline of the read
/// @return any member may serve a group that the token names, if its data
///     covers the position. A group that a complete token does not name may be
///     read at any member if an age is allowed, else at the primary. If the
///     token is incomplete and does not name the group, current data is
///     required
read_requirement make_read_requirement(state::session_token const& token,
                                       std::string_view group,
                                       std::optional<state::duration> max_age,
                                       state::time_point now, deadline end);

} // namespace camphortide::coordination
