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

/// The stage of a promotion.
enum class promotion_stage
{
    fencing,   ///< waiting for grants from a majority
    promoting, ///< waiting for the selected member to become primary
    done,
    lost ///< refused or timed out; a retry needs a higher term
};

/// Which member a promotion should select, as far as safety permits.
struct promotion_preference
{
    std::string m_preferred; ///< empty for any
    /// The deposed primary, which is avoided.
    std::optional<std::size_t> m_deposed;
};

/// One attempt to promote a primary in one term: a majority grants the term,
/// and the most advanced of the members that granted it is promoted. The member
/// is selected once, so that a term has at most one primary; messages without a
/// reply are sent again, which is idempotent at the members. A leaving or just
/// deposed member is skipped if the other members that granted the term form a
/// majority by themselves.
class promotion
{
public:
    /// @param term never proposed before by this proposer
    /// @param proposer the name of this process; a restarted one has another
    ///     name
    /// @param preference the member to prefer among equally advanced ones, and
    ///     the one to avoid
    /// @param view the group's members
    /// @param settings the timeouts
    /// @param now when the promotion starts
    promotion(state::term term, std::string proposer,
              promotion_preference preference, group_view const& view,
              group_settings const& settings, state::time_point now);

    /// Handles a member's reply to a fence request.
    /// @param term the requested term
    /// @param granted whether the member granted the term
    /// @param status the member's status when it replied
    /// @param view the group's members
    void fence_replied(state::term term, bool granted,
                       state::member_status const& status,
                       group_view const& view);

    /// Handles a member's reply to a promote request.
    void promote_replied(state::term term, bool done);

    /// Advances the promotion by the replies received, and sends the messages
    /// that are due.
    /// @param view the latest statuses
    /// @param now the time of the call
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
