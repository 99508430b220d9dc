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

/// What the promises ask of the answer to one read.
struct read_requirement
{
    /// Where a read may be served.
    enum class source
    {
        any,         ///< any member whose answer is accepted
        primary,     ///< the primary
        current_data ///< the primary, confirmed after the read arrived
    };

    std::optional<state::log_position> m_covered; ///< by the session's token
    std::optional<state::duration> m_max_age;     ///< zero: current on arrival
    source m_source = source::primary;
    state::duration m_delivery_time{}; ///< from release until the caller has it
    state::time_point m_arrival;
    deadline m_deadline;

    friend auto operator<=>(read_requirement const&,
                            read_requirement const&) = default;

    /// @return the index that the session's token asks for; 0 if none
    std::uint64_t covered_index() const;

    /// @return the answer must hold every write acknowledged before this
    ///     time; nothing if no age is stated
    std::optional<state::time_point>
    required_as_of(state::time_point now) const;

    /// Bounds the age of an answer when the caller has it.
    /// @param current the answer holds every write acknowledged before this
    /// @param now the time of release
    state::duration age_at_delivery(state::time_point current,
                                    state::time_point now) const;

    /// Finds the index that an answer needs if it is released at a time.
    /// @return the index; nothing while no sample can tell
    std::optional<std::uint64_t>
    required_index_at(freshness const& samples,
                      state::time_point release) const;
};

/// Works out what a read needs.
/// @param token the session's
/// @param group the name of the group that is read
/// @param max_age the age that the class or the request allows, if any
/// @param now the time of arrival
/// @param end the read's deadline
/// @return a group named by the token may be read at any member that covers
///     it; one that is not named, at any member if an age is allowed; one
///     that may have been left out of the token needs current data
read_requirement make_read_requirement(state::session_token const& token,
                                       std::string_view group,
                                       std::optional<state::duration> max_age,
                                       state::time_point now, deadline end);

} // namespace camphortide::coordination
