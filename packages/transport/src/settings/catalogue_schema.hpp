#pragma once

#include "schema.hpp"

#include <vector>

#include <camphortide/state/catalogue_entry.hpp>
#include <camphortide/state/group_description.hpp>

namespace camphortide::transport
{

/// The contents of a catalogue file.
struct catalogue_records
{
    std::uint64_t m_version = 0; ///< version that the file was exported from
    std::vector<state::group_description> m_groups;
    std::vector<state::catalogue_entry> m_entries;
};

/// @return the schema of the limits of an entry
schema<state::entry_limits> limits_schema();

/// @return the schema of a catalogue file
schema<catalogue_records> const& catalogue_schema();

} // namespace camphortide::transport
