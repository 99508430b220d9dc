#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include <camphortide/state/catalogue_entry.hpp>
#include <camphortide/state/group_description.hpp>

namespace camphortide::state
{

/// All entries and groups of one version of the catalogue. Immutable.
class catalogue
{
public:
    catalogue() = default;

    /// @param version the version; 0: before the first accepted change
    /// @param entries in any order
    /// @param groups in any order
    catalogue(std::uint64_t version, std::vector<catalogue_entry> entries,
              std::vector<group_description> groups);

    /// @return the version
    std::uint64_t version() const { return m_version; }
    /// @return the entries, in ascending order of name
    std::vector<catalogue_entry> const& entries() const { return m_entries; }
    /// @return the groups, in ascending order of name
    std::vector<group_description> const& groups() const { return m_groups; }

    /// @param name an entry's name
    /// @return the entry, or null if there is none. The pointer is valid for
    ///     the lifetime of the catalogue
    catalogue_entry const* find_entry(std::string_view name) const;

    /// @param name a group's name
    /// @return the group, or null if there is none. The pointer is valid for
    ///     the lifetime of the catalogue
    group_description const* find_group(std::string_view name) const;

    friend bool operator==(catalogue const&, catalogue const&) = default;

private:
    std::uint64_t m_version = 0;
    std::vector<catalogue_entry> m_entries;
    std::vector<group_description> m_groups;
};

} // namespace camphortide::state
