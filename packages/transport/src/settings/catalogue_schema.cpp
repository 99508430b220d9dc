#include "catalogue_schema.hpp"

namespace camphortide::transport
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t hash_bytes = 32;
constexpr std::size_t max_records = 100000;
constexpr std::size_t max_members = 9;
constexpr std::uint32_t max_count = 1000000;
constexpr std::uint64_t max_version = std::uint64_t{1} << 53;

schema<state::member_description> member_schema()
{
    using member = state::member_description;
    schema<member> table;
    table.required("name", &member::m_name, name_kind(), "Name of the member.")
        .required("address", &member::m_address, address_kind(),
                  "Address at which instances reach it.")
        .required("data_centre", &member::m_data_centre, name_kind(),
                  "Data centre of the member.")
        .optional("leaving", &member::m_leaving, boolean_kind(),
                  "Whether it gets no new work.");
    return table;
}

schema<state::group_description> group_schema()
{
    using group = state::group_description;
    schema<group> table;
    table.required("name", &group::m_name, name_kind(), "Name of the group.")
        .required("connections", &group::m_connection_limit,
                  count_kind({1, max_count}),
                  "Connection limit of each member.")
        .required("slots", &group::m_slots, count_kind({1, max_count}),
                  "Statements that a member runs concurrently.")
        .required("members", &group::m_members,
                  list_kind(member_schema().kind(), {1, max_members}),
                  "Members of the group.");
    return table;
}

schema<state::catalogue_entry> entry_schema()
{
    using entry = state::catalogue_entry;
    schema<entry> table;
    table.required("name", &entry::m_name, name_kind(), "Name of the entry.")
        .required("customer", &entry::m_customer, name_kind(),
                  "Customer of the entry.")
        .renamed("owner", "customer")
        .required("class", &entry::m_class_name, name_kind(), "Traffic class.")
        .required("group", &entry::m_group, name_kind(),
                  "Database group of its statements.")
        .required("credential_hash", &entry::m_credential_hash,
                  hexadecimal_kind(hash_bytes),
                  "SHA-256 of the customer's secret.")
        .optional("limits", &entry::m_limits, limits_schema().kind(),
                  "Limits of its requests.");
    return table;
}

schema<catalogue_records> make_schema()
{
    using records = catalogue_records;
    schema<records> table;
    table
        .optional("version", &records::m_version,
                  large_count_kind({0, max_version}),
                  "Version that the file was exported from.")
        .required("groups", &records::m_groups,
                  list_kind(group_schema().kind(), {0, max_records}),
                  "Database groups.")
        .required("entries", &records::m_entries,
                  list_kind(entry_schema().kind(), {0, max_records}),
                  "Entries.");
    return table;
}

} // namespace

schema<state::entry_limits> limits_schema()
{
    using limits = state::entry_limits;
    schema<limits> table;
    table
        .optional("rate", &limits::m_rate, count_kind({1, max_count}),
                  "Requests per second.")
        .optional("concurrency", &limits::m_concurrency,
                  count_kind({1, max_count}), "Concurrent requests.")
        .optional("connections", &limits::m_connections,
                  count_kind({1, max_count}), "Connections per member.")
        .optional("queue_length", &limits::m_queue_length,
                  count_kind({0, max_count}), "Queued requests.")
        .optional("deadline", &limits::m_deadline, time_kind({1ms, 10min}),
                  "Default deadline of requests.")
        .optional("age", &limits::m_age, time_or_none_kind({0ms, 24h}),
                  "Maximum age of data that reads return.")
        .optional("retry_percent", &limits::m_retry_percent,
                  count_kind({0, 100}), "Retries per hundred requests.")
        .optional("idempotent", &limits::m_idempotent, boolean_kind(),
                  "Default of requests that do not state it.")
        .optional("priority", &limits::m_priority, count_kind({0, 1000}),
                  "Higher is served first.")
        .optional("weight", &limits::m_weight, count_kind({1, 1000}),
                  "Share within a priority.")
        .optional("key_retention", &limits::m_key_retention,
                  time_kind({1s, 8760h}), "How long a request key is kept.");
    return table;
}

schema<catalogue_records> const& catalogue_schema()
{
    static schema<catalogue_records> const table = make_schema();
    return table;
}

} // namespace camphortide::transport
