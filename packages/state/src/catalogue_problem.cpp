#include <array>
#include <cstddef>

#include <camphortide/state/catalogue_problem.hpp>

namespace camphortide::state
{

std::string_view to_string(problem_kind value)
{
    static constexpr std::array<std::string_view, 26> names{
        "empty_name",
        "name_too_long",
        "bad_name",
        "duplicate_entry",
        "duplicate_group",
        "duplicate_member",
        "unknown_group",
        "missing_customer",
        "missing_class",
        "bad_credential_hash",
        "zero_rate",
        "zero_concurrency",
        "zero_connections",
        "too_many_connections",
        "zero_deadline",
        "deadline_too_long",
        "negative_age",
        "retry_share_too_large",
        "zero_weight",
        "retention_too_short",
        "too_few_members",
        "too_many_members",
        "bad_address",
        "missing_data_centre",
        "zero_connection_limit",
        "zero_slots"};
    return names.at(static_cast<std::size_t>(value));
}

} // namespace camphortide::state
