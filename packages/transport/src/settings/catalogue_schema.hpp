#pragma once

#include "schema.hpp"

#include <vector>

#include <camphortide/state/catalogue_entry.hpp>
#include <camphortide/state/group_description.hpp>

namespace camphortide::transport
{

/// The records of a catalogue file.
struct catalogue_records
{
    std::uint64_t m_version = 0; ///< that the file was taken from
    std::vector<state::group_description> m_groups;
    std::vector<state::catalogue_entry> m_entries;
};

/// @return the table of an entry's limits
schema<state::entry_limits> limits_schema();

/// @return the table of a catalogue file
schema<catalogue_records> const& catalogue_schema();

} // namespace camphortide::transport
