#pragma once

#include <compare>
#include <string>
#include <variant>

#include <camphortide/coordination/group/group_monitor.hpp>

namespace camphortide::load
{

/// Time has passed.
struct tick_input
{
    friend auto operator<=>(tick_input const&, tick_input const&) = default;
};

/// A member reported its status.
struct status_input
{
    state::member_status m_status;

    friend auto operator<=>(status_input const&, status_input const&) = default;
};

/// The connection to a member broke.
struct unreachable_input
{
    std::string m_member;

    friend auto operator<=>(unreachable_input const&,
                            unreachable_input const&) = default;
};

/// A member answered a request to grant a term.
struct fence_input
{
    state::term m_term;
    bool m_granted = false;
    state::member_status m_status;

    friend auto operator<=>(fence_input const&, fence_input const&) = default;
};

/// A member answered a request to become primary.
struct promote_input
{
    state::term m_term;
    bool m_done = false;
    state::member_status m_status;

    friend auto operator<=>(promote_input const&,
                            promote_input const&) = default;
};

/// A member answered a request to follow.
struct follow_input
{
    state::member_status m_status;

    friend auto operator<=>(follow_input const&, follow_input const&) = default;
};

/// A planned switchover was requested.
struct switchover_input
{
    std::string m_target; ///< empty: any replica

    friend auto operator<=>(switchover_input const&,
                            switchover_input const&) = default;
};

/// The planned switchover was cancelled.
struct cancel_input
{
    friend auto operator<=>(cancel_input const&, cancel_input const&) = default;
};

/// All writes that were admitted before a pause have finished.
struct drained_input
{
    friend auto operator<=>(drained_input const&,
                            drained_input const&) = default;
};

/// One input of a group monitor.
using monitor_input =
    std::variant<tick_input, status_input, unreachable_input, fence_input,
                 promote_input, follow_input, switchover_input, cancel_input,
                 drained_input>;

/// Passes an input to a monitor.
/// @param monitor processes it
/// @param input what happened
/// @param now time of the input
/// @return the actions that the monitor requests
coordination::group_actions step(coordination::group_monitor& monitor,
                                 monitor_input const& input,
                                 state::time_point now);

} // namespace camphortide::load
