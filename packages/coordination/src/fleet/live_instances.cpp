#include <algorithm>
#include <utility>

#include <camphortide/coordination/fleet/live_instances.hpp>
#include <camphortide/coordination/fleet/rendezvous.hpp>

namespace camphortide::coordination
{

std::vector<state::instance_record>
live_instances(std::map<std::string,
                        state::stored<state::instance_entry>> const& instances)
{
    std::vector<state::instance_record> result;
    for (auto const& [name, stored] : instances)
    {
        if (!stored.m_record.m_expelled)
        {
            state::instance_record record;
            record.m_name = name;
            record.m_data_centre = stored.m_record.m_data_centre;
            record.m_address = stored.m_record.m_address;
            result.push_back(std::move(record));
        }
    }
    return result;
}

void sort_nearest_first(std::vector<state::instance_record>& instances,
                        std::string_view self, std::string_view own_data_centre)
{
    auto const rank = [&](state::instance_record const& instance)
    {
        return std::pair(
            instance.m_data_centre != own_data_centre,
            rendezvous_score(hash_name(self), hash_name(instance.m_name)));
    };
    std::ranges::sort(instances, {}, rank);
}

} // namespace camphortide::coordination
