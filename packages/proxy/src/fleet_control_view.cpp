#include <algorithm>
#include <chrono>
#include <utility>

#include <camphortide/proxy/fleet_control.hpp>

namespace camphortide::proxy
{

namespace
{

/// A process that started this recently has admitted no operations that other
/// instances must allow for. Start times are compared with this host's time of
/// day, which differs by little as a rule.
constexpr state::duration young_time{6000};
} // namespace

void fleet_control::publish_view()
{
    // The homes are chosen from the records.
    if (!m_configuration || !m_records_known)
    {
        return;
    }
    auto view = std::make_shared<fleet_view>();
    view->m_configuration = m_configuration;
    view->m_data_centre = m_own_record.m_data_centre;
    for (auto const& [id, cached] : m_members)
    {
        view->m_members[cached.m_entry.m_group].push_back(cached.m_entry);
    }
    bool const usable = registered();
    for (auto const& [group, stored] : m_records.m_terms)
    {
        auto const earlier = m_primaries.find(group);
        if (auto const status =
                coordination::status_of(stored, usable, m_records_verified_at))
        {
            view->m_primaries.emplace(group, *status);
        }
        else if (earlier != m_primaries.end())
        {
            view->m_primaries.insert(*earlier);
        }
    }
    m_primaries = view->m_primaries;
    if (std::exchange(m_homes_outdated, false))
    {
        update_homes();
        update_keeper_candidates();
    }
    view->m_homes = m_homes;
    view->m_instance = m_own_record.m_name;
    view->m_instances = m_keeper_candidates;
    view->m_young_share = young_share();
    view->m_records_verified_at = m_records_verified_at;
    view->m_allowance = m_allowance;
    m_on_view(std::move(view));
}

void fleet_control::update_keeper_candidates()
{
    // Without customers nobody asks for them.
    if (!m_configuration->m_customers)
    {
        m_keeper_candidates.reset();
        return;
    }
    std::vector<coordination::keeper_candidate> candidates;
    for (auto const& [name, stored] : m_records.m_instances)
    {
        if (!stored.m_record.m_expelled)
        {
            candidates.push_back({{name, stored.m_record.m_forwarding_address},
                                  stored.m_record.m_start_time});
        }
    }
    m_keeper_candidates =
        std::make_shared<std::vector<coordination::keeper_candidate> const>(
            std::move(candidates));
}

double fleet_control::young_share() const
{
    if (!m_keeper_candidates || m_keeper_candidates->empty())
    {
        return 0;
    }
    auto const now = std::chrono::duration_cast<std::chrono::milliseconds>(
                         std::chrono::system_clock::now().time_since_epoch())
                         .count();
    auto const young = std::ranges::count_if(
        *m_keeper_candidates, [now](auto const& each)
        { return now - each.m_start_time < young_time.count(); });
    return static_cast<double>(young) /
           static_cast<double>(m_keeper_candidates->size());
}

void fleet_control::update_homes()
{
    auto homes = std::make_shared<home_map>();
    for (auto const& [group, limits] : m_configuration->m_groups)
    {
        homes->emplace(group, coordination::choose_homes(
                                  m_own_record.m_name, group,
                                  shared_connections(limits.m_max_connections),
                                  m_records.m_instances,
                                  m_member_places[group].m_data_centres));
    }
    m_homes = std::move(homes);
}

} // namespace camphortide::proxy
