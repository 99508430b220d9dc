#include "guarantee_checks.hpp"

#include <algorithm>
#include <map>

namespace camphortide::load
{

namespace
{

/// Time within which the other instances detect that an instance has stopped.
constexpr run_time end_detection_time{1'000'000};

void check_leaving_members(run_observations const& observed,
                           std::vector<guarantee_violation>& violations)
{
    for (auto const& leaving : observed.m_leaving_members)
    {
        if (leaving.m_statements_at_end > leaving.m_statements_at_grace_end)
        {
            violations.push_back(
                {guarantee::no_work_for_leavers,
                 leaving.m_member + " was sent " +
                     std::to_string(leaving.m_statements_at_end -
                                    leaving.m_statements_at_grace_end) +
                     " statements after the grace",
                 {}});
        }
    }
}

void check_drains(run_observations const& observed,
                  std::vector<guarantee_violation>& violations)
{
    for (auto const& drain : observed.m_drains)
    {
        if (!drain.m_clean)
        {
            violations.push_back({guarantee::stops_interrupt_nothing,
                                  drain.m_instance + " interrupted requests",
                                  {}});
        }
    }
}

bool is_during(request_record const& attempt, planned_drain const& drain)
{
    return attempt.m_sent <= drain.m_until + end_detection_time &&
           attempt.m_answered >= drain.m_from;
}

/// Finds transactions that were lost because a planned stop ended their home.
void check_interrupted_transactions(
    run_observations const& observed,
    std::vector<guarantee_violation>& violations)
{
    if (!observed.m_only_planned_faults)
    {
        return;
    }
    for (auto const& attempt : observed.m_history)
    {
        bool const interrupted =
            attempt.m_reason == state::reason::transaction_lost &&
            std::ranges::any_of(observed.m_drains,
                                [&attempt](planned_drain const& drain)
                                { return is_during(attempt, drain); });
        if (interrupted)
        {
            violations.push_back({guarantee::stops_interrupt_nothing,
                                  "a planned stop ended an open transaction",
                                  {attempt}});
        }
    }
}

void check_version_order(run_observations const& observed,
                         std::vector<guarantee_violation>& violations)
{
    std::map<std::string, std::uint64_t> last;
    for (auto const& adoption : observed.m_adoptions)
    {
        auto& before = last[adoption.m_instance];
        if (adoption.m_version < before)
        {
            violations.push_back({guarantee::catalogue_in_force,
                                  adoption.m_instance +
                                      " went back from version " +
                                      std::to_string(before) + " to " +
                                      std::to_string(adoption.m_version),
                                  {}});
        }
        before = std::max(before, adoption.m_version);
    }
}

/// @return true if the instance used the version, or a later one, before the
///     change was due
bool adopted_in_time(run_observations const& observed,
                     std::string const& instance, accepted_change const& change)
{
    return std::ranges::any_of(observed.m_adoptions,
                               [&](catalogue_adoption const& adoption)
                               {
                                   return adoption.m_instance == instance &&
                                          adoption.m_version >=
                                              change.m_version &&
                                          adoption.m_at <= change.m_due;
                               });
}

void check_adoption_times(run_observations const& observed,
                          std::vector<guarantee_violation>& violations)
{
    for (auto const& change : observed.m_changes)
    {
        for (auto const& lifetime : observed.m_lifetimes)
        {
            bool const applicable =
                change.m_due <= observed.m_end &&
                lifetime.m_from <= change.m_accepted &&
                lifetime.m_until.value_or(observed.m_end) >= change.m_due;
            if (applicable &&
                !adopted_in_time(observed, lifetime.m_instance, change))
            {
                violations.push_back({guarantee::catalogue_in_force,
                                      "version " +
                                          std::to_string(change.m_version) +
                                          " is late at " + lifetime.m_instance,
                                      {}});
            }
        }
    }
}

void check_races(run_observations const& observed,
                 std::vector<guarantee_violation>& violations)
{
    for (auto const& race : observed.m_races)
    {
        if (race.m_accepted != 1)
        {
            violations.push_back({guarantee::catalogue_in_force,
                                  "of two edits of " + race.m_entry + ", " +
                                      std::to_string(race.m_accepted) +
                                      " were accepted",
                                  {}});
        }
    }
}

} // namespace

void check_fleet(run_observations const& observed,
                 std::vector<guarantee_violation>& violations)
{
    check_leaving_members(observed, violations);
    check_drains(observed, violations);
    check_interrupted_transactions(observed, violations);
    check_version_order(observed, violations);
    check_adoption_times(observed, violations);
    check_races(observed, violations);
}

} // namespace camphortide::load
