#include <algorithm>
#include <iterator>

#include <camphortide/coordination/fleet/group_homes.hpp>
#include <camphortide/coordination/fleet/home_table.hpp>
#include <camphortide/coordination/fleet/live_instances.hpp>

namespace camphortide::coordination
{

namespace
{

/// @return the instances that may become homes of a group
std::vector<state::instance_record>
candidates(std::vector<state::instance_record> const& live, std::size_t count,
           std::set<std::string> const& member_data_centres)
{
    std::vector<state::instance_record> near;
    std::ranges::copy_if(
        live, std::back_inserter(near),
        [&](auto const& instance)
        { return member_data_centres.contains(instance.m_data_centre); });
    std::set<std::string_view> places;
    for (auto const& instance : near)
    {
        places.insert(instance.m_data_centre);
    }
    return places.size() >= 2 && near.size() >= count ? near : live;
}

} // namespace

group_homes
choose_homes(std::string_view self, std::string_view group,
             std::size_t connections,
             std::map<std::string, state::stored<state::instance_entry>> const&
                 instances,
             std::set<std::string> const& member_data_centres)
{
    auto const live = live_instances(instances);
    group_homes result;
    if (live.size() * min_connections_per_instance <= connections)
    {
        result.m_count = std::max<std::size_t>(live.size(), 1);
        return result;
    }
    auto const count = std::max(min_homes, connections / connections_per_home);
    // The first of the ranking are the homes, the others stand in for them.
    auto homes = home_table(candidates(live, count, member_data_centres),
                            count + stand_ins_per_group)
                     .homes_of(group);
    std::vector<state::instance_record> const stand_ins(
        homes.begin() +
            static_cast<std::ptrdiff_t>(std::min(count, homes.size())),
        homes.end());
    homes.resize(homes.size() - stand_ins.size());
    auto const own = instances.find(std::string(self));
    auto const own_data_centre = own == instances.end()
                                     ? std::string()
                                     : own->second.m_record.m_data_centre;
    sort_nearest_first(homes, self, own_data_centre);
    result.m_count = homes.size();
    result.m_is_home = false;
    for (auto const& home : homes)
    {
        auto const& record = instances.at(home.m_name).m_record;
        result.m_homes.push_back({home.m_name, record.m_forwarding_address});
        result.m_is_home = result.m_is_home || home.m_name == self;
    }
    for (auto const& each : stand_ins)
    {
        if (each.m_name == self)
        {
            result.m_is_stand_in = true;
            continue;
        }
        auto const& record = instances.at(each.m_name).m_record;
        result.m_stand_ins.push_back(
            {each.m_name, record.m_forwarding_address});
    }
    return result;
}

} // namespace camphortide::coordination
