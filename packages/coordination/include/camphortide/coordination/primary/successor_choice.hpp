#pragma once

#include <functional>
#include <string>

#include <camphortide/coordination/primary/replacement.hpp>

namespace camphortide::coordination
{

/// Chooses the member that replaces a primary.
///
/// Where replicas acknowledge commits, only a member that has all acknowledged
/// commits may be chosen, whether or not it is leaving: the most advanced one
/// of so many replicas that each commit is at one of them, or one that has the
/// whole log of the primary. Replicas whose entries have lapsed count as
/// replicas that haven't reported. Otherwise, staying members are preferred.
class successor_choice
{
public:
    /// @param facts must outlive the choice
    /// @param reports_since only reports that were requested then or later
    /// count
    successor_choice(replacement_facts const& facts,
                     state::time_point reports_since);

    /// @return true if every replica, including lapsed ones, has reported
    bool all_reported() const;

    /// @return true if the member with all acknowledged commits is known
    bool can_choose() const;

    /// @param skipped members that can't become the primary now
    /// @return the member; nullptr if none may be chosen
    reported_member const*
    choose(std::function<bool(std::string const&)> const& skipped) const;

private:
    bool is_fresh(reported_member const& member) const;
    bool is_old_primary(reported_member const& member) const;
    bool leads_newer_term(reported_member const& member) const;
    bool is_preferred(reported_member const& member,
                      reported_member const& other) const;
    bool may_lack_commits(reported_member const& member) const;
    std::size_t needed_reports() const;

    replacement_facts const& m_facts;
    state::time_point m_reports_since;
    std::size_t m_replicas = 0;                       ///< including lapsed ones
    std::size_t m_reported = 0;                       ///< of these
    reported_member const* m_old_primary = nullptr;   ///< if it has reported
    reported_member const* m_most_advanced = nullptr; ///< of the replicas
};

} // namespace camphortide::coordination
