#pragma once

namespace camphortide::coordination
{

/// Why no member may be chosen. The names are also the values in the log.
enum class choice_obstacle
{
    none,
    /// No member has reported.
    no_report,
    /// Members that haven't reported may have acknowledged commits that no
    /// other member has.
    missing_reports,
    /// The members that have reported lack commits of the recorded term and
    /// have commits in their place that a promotion discarded, or it isn't
    /// known whether they have.
    discarded_commits
};

} // namespace camphortide::coordination
