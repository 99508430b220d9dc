#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include <camphortide/state/catalogue.hpp>

namespace camphortide::state
{

/// Builds a catalogue, either empty or based on an existing one.
class catalogue_builder
{
public:
    catalogue_builder() = default;
    /// @param base the catalogue to start from
    explicit catalogue_builder(catalogue const& base);

    /// @param value the version of the result
    /// @return this builder
    catalogue_builder& version(std::uint64_t value);
    /// Adds an entry. Removes all entries of the same name first.
    /// @return this builder
    catalogue_builder& set(catalogue_entry value);
    /// Adds a group. Removes all groups of the same name first.
    /// @return this builder
    catalogue_builder& set(group_description value);
    /// Adds an entry without checking for duplicate names; validate() reports
    /// them.
    /// @return this builder
    catalogue_builder& add(catalogue_entry value);
    /// Adds a group without checking for duplicate names; validate() reports
    /// them.
    /// @return this builder
    catalogue_builder& add(group_description value);
    /// @param name of the entry to remove
    /// @return this builder
    catalogue_builder& remove_entry(std::string_view name);
    /// @param name of the group to remove
    /// @return this builder
    catalogue_builder& remove_group(std::string_view name);
    /// @return the catalogue, not validated
    catalogue build() const;

private:
    std::uint64_t m_version = 0;
    std::vector<catalogue_entry> m_entries;
    std::vector<group_description> m_groups;
};

} // namespace camphortide::state
