#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <camphortide/coordination/group/group_action.hpp>
#include <camphortide/coordination/group/group_settings.hpp>
#include <camphortide/coordination/group/group_view.hpp>

namespace camphortide::coordination
{

/// How far a promotion has come.
enum class promotion_stage
{
    fencing,   ///< waiting for the grants of a majority
    promoting, ///< waiting for the chosen member to lead
    done,
    lost ///< refused or timed out; a later try needs a higher term
};

/// Which member a promotion should choose, as far as safety leaves a choice.
struct promotion_preference
{
    std::string m_preferred;              ///< empty for any
    std::optional<std::size_t> m_deposed; ///< the member that was deposed
};

/// One try to give a group a primary in one term: a majority grants the term,
/// and the most advanced of the members that granted it is promoted. The
/// member is chosen once, so that a term has at most one primary; messages
/// without a reply are sent again, which changes nothing at the members. A
/// member that leaves or was just deposed is passed over where the others
/// that granted are a majority by themselves.
class promotion
{
public:
    /// @param term never proposed before by this proposer
    /// @param proposer names this process; a restarted one has another name
    /// @param preference the member to take among equally advanced ones, and
    /// the
    ///     one to pass over
    /// @param view the group's members
    promotion(state::term term, std::string proposer,
              promotion_preference preference, group_view const& view,
              group_settings const& settings, state::time_point now);

    /// Takes a member's reply to a fence.
    /// @param status the member's status when it replied
    void fence_replied(state::term term, bool granted,
                       state::member_status const& status,
                       group_view const& view);

    /// Takes a member's reply to a promote.
    void promote_replied(state::term term, bool done);

    /// Sends what is due, and moves on by what is known.
    /// @param out receives the actions
    void advance(group_view const& view, state::time_point now,
                 group_actions& out);

    promotion_stage stage() const { return m_stage; }
    state::term term() const { return m_term; }

private:
    struct grant
    {
        bool m_given = false;
        bool m_leaving = false;
        state::log_position m_received;
    };

    bool is_deprioritized(std::size_t member) const;
    bool has_majority(group_view const& view, bool include_deprioritized) const;
    std::size_t best(group_view const& view) const;
    bool may_choose(group_view const& view, state::time_point now) const;
    void choose(group_view const& view, state::time_point now);
    void send(group_view const& view, state::time_point now,
              group_actions& out);

    state::term m_term;
    std::string m_proposer;
    promotion_preference m_preference;
    group_settings m_settings;
    promotion_stage m_stage = promotion_stage::fencing;
    std::vector<grant> m_grants;
    std::size_t m_chosen = 0;
    state::time_point m_deadline;
    state::time_point m_send_at;
    std::optional<state::time_point> m_majority_at;
};

} // namespace camphortide::coordination
