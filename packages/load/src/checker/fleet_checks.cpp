#include "promise_checks.hpp"

#include <algorithm>
#include <map>

namespace camphortide::load
{

namespace
{

/// Until then the other instances know that an instance has ended.
constexpr run_time time_until_known{1'000'000};

void check_leavers(run_facts const& facts, std::vector<promise_break>& out)
{
    for (auto const& leaver : facts.m_leavers)
    {
        if (leaver.m_at_end > leaver.m_at_limit)
        {
            out.push_back(
                {promise::no_work_for_leavers,
                 leaver.m_member + " was sent " +
                     std::to_string(leaver.m_at_end - leaver.m_at_limit) +
                     " statements after the grace",
                 {}});
        }
    }
}

void check_drains(run_facts const& facts, std::vector<promise_break>& out)
{
    for (auto const& drain : facts.m_drains)
    {
        if (!drain.m_clean)
        {
            out.push_back({promise::stops_interrupt_nothing,
                           drain.m_instance + " interrupted requests",
                           {}});
        }
    }
}

bool is_during(request_record const& attempt, planned_drain const& drain)
{
    return attempt.m_sent <= drain.m_until + time_until_known &&
           attempt.m_answered >= drain.m_from;
}

/// Finds transactions that ended because a planned stop took their home away.
void check_cut_transactions(run_facts const& facts,
                            std::vector<promise_break>& out)
{
    if (!facts.m_only_planned)
    {
        return;
    }
    for (auto const& attempt : facts.m_history)
    {
        bool const cut =
            attempt.m_reason == state::reason::transaction_lost &&
            std::ranges::any_of(facts.m_drains,
                                [&attempt](planned_drain const& drain)
                                { return is_during(attempt, drain); });
        if (cut)
        {
            out.push_back({promise::stops_interrupt_nothing,
                           "a planned stop ended an open transaction",
                           {attempt}});
        }
    }
}

void check_no_revert(run_facts const& facts, std::vector<promise_break>& out)
{
    std::map<std::string, std::uint64_t> last;
    for (auto const& sighting : facts.m_sightings)
    {
        auto& before = last[sighting.m_instance];
        if (sighting.m_version < before)
        {
            out.push_back({promise::catalogue_in_force,
                           sighting.m_instance + " went back from version " +
                               std::to_string(before) + " to " +
                               std::to_string(sighting.m_version),
                           {}});
        }
        before = std::max(before, sighting.m_version);
    }
}

/// @return true if the instance used the version, or a later one, in time
bool in_force(run_facts const& facts, std::string const& instance,
              accepted_change const& change)
{
    return std::ranges::any_of(facts.m_sightings,
                               [&](catalogue_sighting const& sighting)
                               {
                                   return sighting.m_instance == instance &&
                                          sighting.m_version >=
                                              change.m_version &&
                                          sighting.m_at <= change.m_due;
                               });
}

void check_in_time(run_facts const& facts, std::vector<promise_break>& out)
{
    for (auto const& change : facts.m_changes)
    {
        for (auto const& life : facts.m_lives)
        {
            bool const judged =
                change.m_due <= facts.m_end &&
                life.m_from <= change.m_accepted &&
                life.m_until.value_or(facts.m_end) >= change.m_due;
            if (judged && !in_force(facts, life.m_instance, change))
            {
                out.push_back({promise::catalogue_in_force,
                               "version " + std::to_string(change.m_version) +
                                   " is late at " + life.m_instance,
                               {}});
            }
        }
    }
}

void check_races(run_facts const& facts, std::vector<promise_break>& out)
{
    for (auto const& race : facts.m_races)
    {
        if (race.m_accepted != 1)
        {
            out.push_back({promise::catalogue_in_force,
                           "of two edits of " + race.m_entry + ", " +
                               std::to_string(race.m_accepted) +
                               " were accepted",
                           {}});
        }
    }
}

} // namespace

void check_fleet(run_facts const& facts, std::vector<promise_break>& out)
{
    check_leavers(facts, out);
    check_drains(facts, out);
    check_cut_transactions(facts, out);
    check_no_revert(facts, out);
    check_in_time(facts, out);
    check_races(facts, out);
}

} // namespace camphortide::load
