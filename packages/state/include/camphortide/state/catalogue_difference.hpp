#pragma once

#include <compare>
#include <string>
#include <string_view>
#include <vector>

#include <camphortide/state/catalogue_entry.hpp>
#include <camphortide/state/group_description.hpp>

namespace camphortide::state
{

/// A field of an entry or a group.
enum class catalogue_field
{
    existence, ///< the record exists on one side only
    customer,
    class_name,
    group,
    credential_hash,
    rate,
    concurrency,
    connections,
    queue_length,
    deadline,
    age,
    retry_percent,
    idempotent,
    priority,
    weight,
    key_retention,
    members,
    connection_limit,
    slots
};

/// @return the field's name as it is printed in reports
std::string_view to_string(catalogue_field value);

/// Compares two entries. Ignores their change stamps.
/// @param left null if that side has no such entry
/// @param right null if that side has no such entry
/// @return the fields that differ
std::vector<catalogue_field> differing_fields(catalogue_entry const* left,
                                              catalogue_entry const* right);

/// Compares two groups. Ignores their change stamps.
/// @param left null if that side has no such group
/// @param right null if that side has no such group
/// @return the fields that differ
std::vector<catalogue_field> differing_fields(group_description const* left,
                                              group_description const* right);

} // namespace camphortide::state
