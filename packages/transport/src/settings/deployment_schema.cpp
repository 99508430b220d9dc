#include "deployment_schema.hpp"

#include "catalogue_schema.hpp"

namespace camphortide::transport
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t max_list_size = 1000;
constexpr std::size_t max_members = 9;
constexpr std::uint32_t max_count = 1000000;
constexpr double max_rate = 1e6;
constexpr value_range<std::chrono::microseconds> short_time{0us, 60s};

schema<deployment_instance> make_instance_schema()
{
    using record = deployment_instance;
    schema<record> table;
    table.required("name", &record::m_name, name_kind(), "Name.")
        .required("data_centre", &record::m_data_centre, name_kind(),
                  "Data centre.");
    return table;
}

schema<deployment_member> make_member_schema()
{
    using record = deployment_member;
    schema<record> table;
    table.required("name", &record::m_name, name_kind(), "Name.")
        .required("data_centre", &record::m_data_centre, name_kind(),
                  "Data centre.");
    return table;
}

schema<deployment_group> make_group_schema()
{
    using record = deployment_group;
    schema<record> table;
    table.required("name", &record::m_name, name_kind(), "Name.")
        .required("members", &record::m_members,
                  list_kind(make_member_schema().kind(), {1, max_members}),
                  "Members; the first one is the initial primary.")
        .required("slots", &record::m_slots, count_kind({1, max_count}),
                  "Statements that a member runs concurrently.")
        .required("connections", &record::m_connections,
                  count_kind({1, max_count}),
                  "Connection limit of each member.")
        .optional("open_time", &record::m_open_time,
                  microseconds_kind(short_time), "Time to open a connection.")
        .optional("statement_time", &record::m_statement_time,
                  microseconds_kind(short_time), "Time that a statement takes.")
        .optional("receive_lag", &record::m_receive_lag,
                  microseconds_kind(short_time),
                  "Delay until a replica receives a record.")
        .optional("apply_lag", &record::m_apply_lag,
                  microseconds_kind(short_time),
                  "Delay from then until the replica applies it.");
    return table;
}

schema<deployment_customer> make_customer_schema()
{
    using record = deployment_customer;
    schema<record> table;
    table.required("name", &record::m_name, name_kind(), "Name.")
        .required("credential", &record::m_credential, text_kind(),
                  "Secret; for demonstrations only.");
    return table;
}

schema<deployment_entry> make_entry_schema()
{
    using record = deployment_entry;
    schema<record> table;
    table.required("name", &record::m_name, name_kind(), "Name.")
        .required("customer", &record::m_customer, name_kind(),
                  "A customer's name.")
        .renamed("owner", "customer")
        .required("class", &record::m_class_name, name_kind(), "Traffic class.")
        .required("groups", &record::m_groups,
                  list_kind(name_kind(), {1, max_list_size}),
                  "Database groups; an entry is made for each.")
        .optional("limits", &record::m_limits, limits_schema().kind(),
                  "Limits of its requests.");
    return table;
}

schema<deployment_traffic> make_traffic_schema()
{
    using record = deployment_traffic;
    schema<record> table;
    table.required("name", &record::m_name, name_kind(), "Name.")
        .required("entry", &record::m_entry, name_kind(), "An entry's name.")
        .required("kind", &record::m_kind,
                  choice_kind<traffic_kind>(
                      {{"read", traffic_kind::read},
                       {"write", traffic_kind::write},
                       {"transaction", traffic_kind::transaction}}),
                  "Type of the requests.")
        .required("statements", &record::m_statements,
                  list_kind(text_kind(), {1, 16}),
                  "One statement; more in a transaction.")
        .required("rate", &record::m_rate, number_kind({0.001, max_rate}),
                  "Requests per second, over all sessions.")
        .optional("sessions", &record::m_sessions, count_kind({1, max_count}),
                  "Concurrent callers.")
        .optional("items", &record::m_items, count_kind({1, max_count}),
                  "Number of values of {item}.")
        .optional("idempotent", &record::m_idempotent, boolean_kind(),
                  "Whether it may run more than once.")
        .optional("move_percent", &record::m_move_percent, count_kind({0, 100}),
                  "Percentage of requests that switch instances.");
    return table;
}

schema<deployment> make_schema()
{
    using record = deployment;
    schema<record> table;
    table.required("name", &record::m_name, text_kind(), "Name.")
        .required("region", &record::m_region, name_kind(), "Region.")
        .required("data_centres", &record::m_data_centres,
                  list_kind(name_kind(), {1, max_list_size}), "Data centres.")
        .optional("latency.between_data_centres", &record::m_latency_between,
                  microseconds_kind(short_time), "One way.")
        .optional("latency.to_clients", &record::m_latency_to_clients,
                  microseconds_kind(short_time), "One way.")
        .optional("homes", &record::m_homes_per_group,
                  count_or_all_kind({1, 64}), "Homes of each group.")
        .required("instances", &record::m_instances,
                  list_kind(make_instance_schema().kind(), {1, max_list_size}),
                  "Instances.")
        .required("groups", &record::m_groups,
                  list_kind(make_group_schema().kind(), {1, max_list_size}),
                  "Database groups.")
        .required("customers", &record::m_customers,
                  list_kind(make_customer_schema().kind(), {1, max_list_size}),
                  "Customers.")
        .renamed("owners", "customers")
        .required("entries", &record::m_entries,
                  list_kind(make_entry_schema().kind(), {1, max_list_size}),
                  "Traffic classes.")
        .optional("traffic", &record::m_traffic,
                  list_kind(make_traffic_schema().kind(), {0, max_list_size}),
                  "Traffic that callers send.");
    return table;
}

using name_set = std::set<std::string, std::less<>>;

/// Collects the names of records and reports duplicates.
template <typename Record>
name_set collect_names(std::vector<Record> const& records,
                       error_reporter const& reporter)
{
    name_set names;
    for (std::size_t i = 0; i < records.size(); ++i)
    {
        if (!names.insert(records[i].m_name).second)
        {
            reporter.at(i).at("name").report(setting_error_kind::conflict,
                                             "a name that no other has",
                                             in_quotes(records[i].m_name));
        }
    }
    return names;
}

void check_reference(name_set const& names, std::string const& name,
                     std::string_view target, error_reporter const& reporter)
{
    if (names.count(name) == 0)
    {
        reporter.report(setting_error_kind::conflict,
                        joined({"the name of ", target}), in_quotes(name));
    }
}

void check_groups(deployment const& value, name_set const& data_centres,
                  error_reporter const& reporter)
{
    name_set members;
    for (std::size_t i = 0; i < value.m_groups.size(); ++i)
    {
        auto const list = reporter.at(i).at("members");
        auto const& group = value.m_groups[i];
        for (std::size_t j = 0; j < group.m_members.size(); ++j)
        {
            auto const& member = group.m_members[j];
            check_reference(data_centres, member.m_data_centre, "a data centre",
                            list.at(j).at("data_centre"));
            if (!members.insert(member.m_name).second)
            {
                list.at(j).at("name").report(setting_error_kind::conflict,
                                             "a name that no other member has",
                                             in_quotes(member.m_name));
            }
        }
    }
}

void check_entries(deployment const& value, name_set const& customers,
                   name_set const& groups, error_reporter const& reporter)
{
    for (std::size_t i = 0; i < value.m_entries.size(); ++i)
    {
        auto const& entry = value.m_entries[i];
        check_reference(customers, entry.m_customer, "a customer",
                        reporter.at(i).at("customer"));
        for (std::size_t j = 0; j < entry.m_groups.size(); ++j)
        {
            check_reference(groups, entry.m_groups[j], "a group",
                            reporter.at(i).at("groups").at(j));
        }
    }
}

void check_traffic(deployment const& value, name_set const& entries,
                   error_reporter const& reporter)
{
    for (std::size_t i = 0; i < value.m_traffic.size(); ++i)
    {
        auto const& traffic = value.m_traffic[i];
        check_reference(entries, traffic.m_entry, "an entry",
                        reporter.at(i).at("entry"));
        if (traffic.m_kind != traffic_kind::transaction &&
            traffic.m_statements.size() > 1)
        {
            reporter.at(i)
                .at("statements")
                .report(setting_error_kind::conflict,
                        "one statement, or the kind "
                        "\"transaction\"");
        }
    }
}

} // namespace

schema<deployment> const& deployment_schema()
{
    static schema<deployment> const table = make_schema();
    return table;
}

void check_deployment(deployment const& value, error_reporter const& reporter)
{
    name_set const data_centres(value.m_data_centres.begin(),
                                value.m_data_centres.end());
    auto const instances = reporter.at("instances");
    collect_names(value.m_instances, instances);
    for (std::size_t i = 0; i < value.m_instances.size(); ++i)
    {
        check_reference(data_centres, value.m_instances[i].m_data_centre,
                        "a data centre", instances.at(i).at("data_centre"));
    }
    auto const groups = collect_names(value.m_groups, reporter.at("groups"));
    check_groups(value, data_centres, reporter.at("groups"));
    auto const customers =
        collect_names(value.m_customers, reporter.at("customers"));
    auto const entries = collect_names(value.m_entries, reporter.at("entries"));
    check_entries(value, customers, groups, reporter.at("entries"));
    collect_names(value.m_traffic, reporter.at("traffic"));
    check_traffic(value, entries, reporter.at("traffic"));
}

} // namespace camphortide::transport
