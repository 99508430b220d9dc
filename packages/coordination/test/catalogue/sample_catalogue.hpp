#pragma once

#include <string>

#include <camphortide/coordination/fleet/catalogue_change.hpp>
#include <camphortide/state/catalogue_entry_builder.hpp>

inline camphortide::state::group_description
sample_group(std::string const& name)
{
    camphortide::state::group_description group;
    group.m_name = name;
    group.m_members = {{"one", "10.0.0.1:7000", "leon"},
                       {"two", "10.0.0.2:7000", "queretaro"},
                       {"three", "10.0.0.3:7000", "celaya"}};
    group.m_connection_limit = 55;
    group.m_slots = 5;
    return group;
}

inline camphortide::state::catalogue_entry
sample_entry(std::string const& name, std::string const& group,
             std::uint32_t rate = 100)
{
    camphortide::state::entry_limits limits;
    limits.m_rate = rate;
    return camphortide::state::catalogue_entry_builder(name)
        .customer("dealers")
        .class_name("listing")
        .group(group)
        .credential_hash(std::string(64, 'a'))
        .limits(limits)
        .build();
}

/// @return a change that adds a group with one entry
inline camphortide::coordination::catalogue_change
sample_addition(std::string const& id, std::string const& group)
{
    return {id,
            "ana",
            {{group + ".listing", {}, sample_entry(group + ".listing", group)}},
            {{group, {}, sample_group(group)}}};
}

/// @return a change that sets an entry's rate
inline camphortide::coordination::catalogue_change
sample_rate_change(std::string const& id, std::string const& operator_name,
                   std::string const& group, std::uint32_t from,
                   std::uint32_t to)
{
    auto const name = group + ".listing";
    return {id,
            operator_name,
            {{name, sample_entry(name, group, from),
              sample_entry(name, group, to)}},
            {}};
}
