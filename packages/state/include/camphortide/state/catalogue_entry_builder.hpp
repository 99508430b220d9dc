#pragma once

#include <string>

#include <camphortide/state/catalogue_entry.hpp>

namespace camphortide::state
{

/// Builds a catalogue entry. Fields that are not set keep their defaults.
class catalogue_entry_builder
{
public:
    /// @param name the entry's name
    explicit catalogue_entry_builder(std::string name);

    /// @param value the customer's name
    /// @return this builder
    catalogue_entry_builder& customer(std::string value);
    /// @param value the traffic class
    /// @return this builder
    catalogue_entry_builder& class_name(std::string value);
    /// @param value the database group's name
    /// @return this builder
    catalogue_entry_builder& group(std::string value);
    /// @param value SHA-256 of the customer's secret, 64 lower-case hex digits
    /// @return this builder
    catalogue_entry_builder& credential_hash(std::string value);
    /// @param value the limits
    /// @return this builder
    catalogue_entry_builder& limits(entry_limits value);
    /// @return the entry, not validated
    catalogue_entry build() const;

private:
    catalogue_entry m_entry;
};

} // namespace camphortide::state
