#pragma once

#include <map>
#include <string>

#include <camphortide/state/fleet_records.hpp>

namespace tests
{

using instance_records =
    std::map<std::string,
             camphortide::state::stored<camphortide::state::instance_entry>>;

/// Makes the records of instances i0, i1, ... that take turns over three data
/// centres.
inline instance_records make_registered_instances(int count)
{
    instance_records all;
    for (int number = 0; number < count; ++number)
    {
        auto const host = "10.0.0." + std::to_string(number);
        camphortide::state::instance_entry entry;
        entry.m_name = "i";
        entry.m_name += std::to_string(number);
        entry.m_address = host + ":1";
        entry.m_forwarding_address = host + ":2";
        entry.m_data_centre = "dc" + std::to_string(number % 3);
        all[entry.m_name] = {entry, 1};
    }
    return all;
}

} // namespace tests
