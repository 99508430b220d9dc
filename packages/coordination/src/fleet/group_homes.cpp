#include <algorithm>

#include <camphortide/coordination/fleet/group_homes.hpp>
#include <camphortide/coordination/fleet/home_table.hpp>
#include <camphortide/coordination/fleet/live_instances.hpp>

namespace camphortide::coordination
{

group_homes
choose_homes(std::string_view self, std::string_view group,
             std::size_t connections,
             std::map<std::string, state::stored<state::instance_entry>> const&
                 instances)
{
    auto const live = live_instances(instances);
    group_homes result;
    if (live.size() * least_connections_each <= connections)
    {
        result.m_count = std::max<std::size_t>(live.size(), 1);
        return result;
    }
    auto const count =
        std::max(least_homes, connections / connections_per_home);
    auto homes = home_table(live, count).homes_of(group);
    auto const own = instances.find(std::string(self));
    auto const here = own == instances.end()
                          ? std::string()
                          : own->second.m_record.m_data_centre;
    sort_nearest_first(homes, self, here);
    result.m_count = homes.size();
    result.m_here = false;
    for (auto const& home : homes)
    {
        auto const& record = instances.at(home.m_name).m_record;
        result.m_homes.push_back({home.m_name, record.m_forwarding_address});
        result.m_here = result.m_here || home.m_name == self;
    }
    return result;
}

home_place const* home_choice::choose(std::vector<std::string> const& tried,
                                      state::time_point now) const
{
    home_place const* second_best = nullptr;
    for (auto const& home : m_homes)
    {
        if (std::ranges::find(tried, home.m_name) != tried.end())
        {
            continue;
        }
        if (!m_failed.contains(home.m_name, now))
        {
            return &home;
        }
        second_best = second_best == nullptr ? &home : second_best;
    }
    return second_best;
}

void home_choice::failed(std::string const& home, state::duration pause,
                         state::time_point now)
{
    m_failed.add(home, now + pause);
}

} // namespace camphortide::coordination
