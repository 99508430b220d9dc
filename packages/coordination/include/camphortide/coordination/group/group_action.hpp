#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <camphortide/state/term_history.hpp>

namespace camphortide::coordination
{

/// The primary that writes are sent to.
struct group_primary
{
    std::string m_member;
    state::term m_term;
    state::term_history m_history;

    friend auto operator<=>(group_primary const&,
                            group_primary const&) = default;
};

/// Send a probe to a member.
struct send_probe
{
    std::string m_member;
    std::uint64_t m_probe = 0;

    friend auto operator<=>(send_probe const&, send_probe const&) = default;
};

/// Request a member to grant a term.
struct send_fence
{
    std::string m_member;
    state::term m_term;
    std::string m_proposer;

    friend auto operator<=>(send_fence const&, send_fence const&) = default;
};

/// Request a member to become primary in a term.
struct send_promote
{
    std::string m_member;
    state::term m_term;
    std::string m_proposer;

    friend auto operator<=>(send_promote const&, send_promote const&) = default;
};

/// Request a member to follow a primary in a term.
struct send_follow
{
    std::string m_member;
    state::term m_term;
    std::string m_proposer;
    std::string m_primary;

    friend auto operator<=>(send_follow const&, send_follow const&) = default;
};

/// Use this primary for writes from now on; without one, hold writes back.
struct primary_changed
{
    std::optional<group_primary> m_primary;

    friend auto operator<=>(primary_changed const&,
                            primary_changed const&) = default;
};

/// Stop admitting writes and transactions to the group, at every home; call
/// writes_drained once those admitted before have ended everywhere.
struct pause_writes
{
    friend auto operator<=>(pause_writes const&, pause_writes const&) = default;
};

/// Admit writes again, at every home.
struct resume_writes
{
    friend auto operator<=>(resume_writes const&,
                            resume_writes const&) = default;
};

/// How a switchover ended.
enum class switchover_result
{
    done,       ///< the group has a primary in a later term
    cancelled,  ///< by the caller
    timed_out,  ///< no replica caught up in time, or writes did not drain
    no_primary, ///< there was no primary to replace
    busy,       ///< another change of primary is under way
    unknown_member,
    /// Another instance changed the primary, or a member refused the term.
    lost
};

/// The end of a switchover.
struct switchover_ended
{
    switchover_result m_result = switchover_result::done;
    std::string m_primary; ///< the primary now; empty if none is known

    friend auto operator<=>(switchover_ended const&,
                            switchover_ended const&) = default;
};

/// An action that the owner of a group monitor has to perform.
using group_action = std::variant<send_probe, send_fence, send_promote,
                                  send_follow, primary_changed, pause_writes,
                                  resume_writes, switchover_ended>;

using group_actions = std::vector<group_action>;

} // namespace camphortide::coordination
