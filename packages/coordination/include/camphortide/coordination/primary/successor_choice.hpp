#pragma once

#include <functional>
#include <string>

#include <camphortide/coordination/primary/replacement.hpp>

namespace camphortide::coordination
{

/// Which members' logs are accepted.
enum class accepted_logs
{
    /// Those that are part of the recorded term's log.
    of_recorded_term,
    any
};

/// Chooses the member that replaces a primary.
///
/// A member whose last commits were discarded by an earlier promotion would
/// bring them back in place of what was acknowledged since. It isn't chosen
/// before it was rolled back, unless any log is accepted.
///
/// Where replicas acknowledge commits, only a member that has all acknowledged
/// commits may be chosen, whether or not it is leaving: the most advanced one
/// of so many replicas that each commit is at one of them, or one that has the
/// whole log of the primary. Among these, registered and staying members are
/// preferred.
class successor_choice
{
public:
    /// @param facts must outlive the choice
    /// @param reports_since only reports that were requested then or later
    /// count
    successor_choice(replacement_facts const& facts,
                     state::time_point reports_since);

    /// @return true if every replica has reported
    bool all_reported() const { return m_reported == m_replicas; }

    /// @return why no member may be chosen
    choice_obstacle obstacle() const;

    /// @param skipped members that can't become the primary now
    /// @return the member; nullptr if none may be chosen
    reported_member const*
    choose(std::function<bool(std::string const&)> const& skipped,
           accepted_logs accepted = accepted_logs::of_recorded_term) const;

private:
    bool is_fresh(reported_member const& member) const;
    bool is_old_primary(reported_member const& member) const;
    bool leads_newer_term(reported_member const& member) const;
    bool is_preferred(reported_member const& member,
                      reported_member const& other) const;
    bool accepts(reported_member const& member, accepted_logs accepted) const;
    /// @return the most advanced replica; nullptr if no log is accepted
    reported_member const* most_advanced(accepted_logs accepted) const;
    /// @return true if all acknowledged commits are at the replicas that have
    ///     reported
    bool knows_commits(accepted_logs accepted) const;
    std::size_t needed_reports() const;

    replacement_facts const& m_facts;
    state::time_point m_reports_since;
    std::size_t m_replicas = 0;
    std::size_t m_reported = 0;                     ///< of these
    reported_member const* m_old_primary = nullptr; ///< if it has reported
};

} // namespace camphortide::coordination
