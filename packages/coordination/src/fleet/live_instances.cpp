#include <camphortide/coordination/fleet/live_instances.hpp>

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

} // namespace camphortide::coordination
