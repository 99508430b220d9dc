#pragma once

#include <compare>
#include <string>
#include <string_view>

namespace camphortide::state
{

/// The rule that a record of a catalogue violates.
enum class problem_kind
{
    empty_name,
    name_too_long,
    bad_name,
    duplicate_entry,
    duplicate_group,
    duplicate_member,
    unknown_group,
    missing_customer,
    missing_class,
    bad_credential_hash,
    zero_rate,
    zero_concurrency,
    zero_connections,
    too_many_connections,
    zero_deadline,
    deadline_too_long,
    negative_age,
    retry_share_too_large,
    zero_weight,
    retention_too_short,
    too_few_members,
    too_many_members,
    bad_address,
    missing_data_centre,
    zero_connection_limit,
    zero_slots
};

/// @return the kind's name as it is printed in reports
std::string_view to_string(problem_kind value);

/// One problem that validation found.
struct catalogue_problem
{
    problem_kind m_kind = problem_kind::empty_name;
    std::string m_subject; ///< name of the entry or group

    friend auto operator<=>(catalogue_problem const&,
                            catalogue_problem const&) = default;
};

} // namespace camphortide::state
