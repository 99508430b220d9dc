#include "deployment_schema.hpp"

#include "catalogue_schema.hpp"

namespace camphortide::transport
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t most_parts = 1000;
constexpr std::size_t most_members = 9;
constexpr std::uint32_t most_count = 1000000;
constexpr double most_rate = 1e6;
constexpr value_range<std::chrono::microseconds> short_time{0us, 60s};

schema<deployment_instance> instance_part()
{
    using part = deployment_instance;
    schema<part> table;
    table.required("name", &part::m_name, name_kind(), "Name.")
        .required("data_centre", &part::m_data_centre, name_kind(),
                  "Data centre.");
    return table;
}

schema<deployment_member> member_part()
{
    using part = deployment_member;
    schema<part> table;
    table.required("name", &part::m_name, name_kind(), "Name.")
        .required("data_centre", &part::m_data_centre, name_kind(),
                  "Data centre.");
    return table;
}

schema<deployment_group> group_part()
{
    using part = deployment_group;
    schema<part> table;
    table.required("name", &part::m_name, name_kind(), "Name.")
        .required("members", &part::m_members,
                  list_kind(member_part().kind(), {1, most_members}),
                  "Members; the first is the primary at the start.")
        .required("slots", &part::m_slots, count_kind({1, most_count}),
                  "Statements that a member runs at a time.")
        .required("connections", &part::m_connections,
                  count_kind({1, most_count}), "Connections of each member.")
        .optional("open_time", &part::m_open_time, fine_time_kind(short_time),
                  "Time to open a connection.")
        .optional("statement_time", &part::m_statement_time,
                  fine_time_kind(short_time), "Time that a statement takes.")
        .optional("receive_lag", &part::m_receive_lag,
                  fine_time_kind(short_time), "Until a replica has a record.")
        .optional("apply_lag", &part::m_apply_lag, fine_time_kind(short_time),
                  "From then until its reads see the record.");
    return table;
}

schema<deployment_owner> owner_part()
{
    using part = deployment_owner;
    schema<part> table;
    table.required("name", &part::m_name, name_kind(), "Name.")
        .required("credential", &part::m_credential, text_kind(),
                  "Secret; for demonstrations only.");
    return table;
}

schema<deployment_entry> entry_part()
{
    using part = deployment_entry;
    schema<part> table;
    table.required("name", &part::m_name, name_kind(), "Name.")
        .required("owner", &part::m_owner, name_kind(), "An owner's name.")
        .required("class", &part::m_class_name, name_kind(),
                  "Class of traffic.")
        .required("groups", &part::m_groups,
                  list_kind(name_kind(), {1, most_parts}),
                  "Database groups; each gets an entry.")
        .optional("limits", &part::m_limits, limits_schema().kind(),
                  "What its requests may use.");
    return table;
}

schema<deployment_traffic> traffic_part()
{
    using part = deployment_traffic;
    schema<part> table;
    table.required("name", &part::m_name, name_kind(), "Name.")
        .required("entry", &part::m_entry, name_kind(), "An entry's name.")
        .required("kind", &part::m_kind,
                  choice_kind<traffic_kind>(
                      {{"read", traffic_kind::read},
                       {"write", traffic_kind::write},
                       {"transaction", traffic_kind::transaction}}),
                  "What a request is.")
        .required("statements", &part::m_statements,
                  list_kind(text_kind(), {1, 16}),
                  "One statement; more in a transaction.")
        .required("rate", &part::m_rate, number_kind({0.001, most_rate}),
                  "Requests per second, over all sessions.")
        .optional("sessions", &part::m_sessions, count_kind({1, most_count}),
                  "Callers at a time.")
        .optional("items", &part::m_items, count_kind({1, most_count}),
                  "Numbers that {item} stands for.")
        .optional("idempotent", &part::m_idempotent, boolean_kind(),
                  "May run more than once.")
        .optional("move_percent", &part::m_move_percent, count_kind({0, 100}),
                  "Requests in a hundred that go to another instance.");
    return table;
}

schema<deployment> make_schema()
{
    using whole = deployment;
    schema<whole> table;
    table.required("name", &whole::m_name, text_kind(), "Name.")
        .required("region", &whole::m_region, name_kind(), "Region.")
        .required("data_centres", &whole::m_data_centres,
                  list_kind(name_kind(), {1, most_parts}), "Data centres.")
        .optional("latency.between_data_centres", &whole::m_latency_between,
                  fine_time_kind(short_time), "One way.")
        .optional("latency.to_clients", &whole::m_latency_to_clients,
                  fine_time_kind(short_time), "One way.")
        .optional("homes", &whole::m_homes_per_group,
                  count_or_all_kind({1, 64}), "Homes of each group.")
        .required("instances", &whole::m_instances,
                  list_kind(instance_part().kind(), {1, most_parts}),
                  "Instances.")
        .required("groups", &whole::m_groups,
                  list_kind(group_part().kind(), {1, most_parts}),
                  "Database groups.")
        .required("owners", &whole::m_owners,
                  list_kind(owner_part().kind(), {1, most_parts}), "Owners.")
        .required("entries", &whole::m_entries,
                  list_kind(entry_part().kind(), {1, most_parts}),
                  "Classes of traffic.")
        .optional("traffic", &whole::m_traffic,
                  list_kind(traffic_part().kind(), {0, most_parts}),
                  "What callers send.");
    return table;
}

using name_set = std::set<std::string, std::less<>>;

/// Collects the names of some parts; a repeated one is a fault.
template <typename Part>
name_set names_of(std::vector<Part> const& parts, value_reader const& reader)
{
    name_set names;
    for (std::size_t i = 0; i < parts.size(); ++i)
    {
        if (!names.insert(parts[i].m_name).second)
        {
            reader.at(i).at("name").fail(setting_fault::conflict,
                                         "a name that no other has",
                                         in_quotes(parts[i].m_name));
        }
    }
    return names;
}

void check_known(name_set const& names, std::string const& name,
                 std::string_view what, value_reader const& reader)
{
    if (names.count(name) == 0)
    {
        reader.fail(setting_fault::conflict, joined({"the name of ", what}),
                    in_quotes(name));
    }
}

void check_groups(deployment const& value, name_set const& data_centres,
                  value_reader const& reader)
{
    name_set members;
    for (std::size_t i = 0; i < value.m_groups.size(); ++i)
    {
        auto const list = reader.at(i).at("members");
        auto const& group = value.m_groups[i];
        for (std::size_t j = 0; j < group.m_members.size(); ++j)
        {
            auto const& member = group.m_members[j];
            check_known(data_centres, member.m_data_centre, "a data centre",
                        list.at(j).at("data_centre"));
            if (!members.insert(member.m_name).second)
            {
                list.at(j).at("name").fail(setting_fault::conflict,
                                           "a name that no other member has",
                                           in_quotes(member.m_name));
            }
        }
    }
}

void check_entries(deployment const& value, name_set const& owners,
                   name_set const& groups, value_reader const& reader)
{
    for (std::size_t i = 0; i < value.m_entries.size(); ++i)
    {
        auto const& entry = value.m_entries[i];
        check_known(owners, entry.m_owner, "an owner",
                    reader.at(i).at("owner"));
        for (std::size_t j = 0; j < entry.m_groups.size(); ++j)
        {
            check_known(groups, entry.m_groups[j], "a group",
                        reader.at(i).at("groups").at(j));
        }
    }
}

void check_traffic(deployment const& value, name_set const& entries,
                   value_reader const& reader)
{
    for (std::size_t i = 0; i < value.m_traffic.size(); ++i)
    {
        auto const& traffic = value.m_traffic[i];
        check_known(entries, traffic.m_entry, "an entry",
                    reader.at(i).at("entry"));
        if (traffic.m_kind != traffic_kind::transaction &&
            traffic.m_statements.size() > 1)
        {
            reader.at(i)
                .at("statements")
                .fail(setting_fault::conflict, "one statement, or the kind "
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

void check_deployment(deployment const& value, value_reader const& reader)
{
    name_set const data_centres(value.m_data_centres.begin(),
                                value.m_data_centres.end());
    auto const instances = reader.at("instances");
    names_of(value.m_instances, instances);
    for (std::size_t i = 0; i < value.m_instances.size(); ++i)
    {
        check_known(data_centres, value.m_instances[i].m_data_centre,
                    "a data centre", instances.at(i).at("data_centre"));
    }
    auto const groups = names_of(value.m_groups, reader.at("groups"));
    check_groups(value, data_centres, reader.at("groups"));
    auto const owners = names_of(value.m_owners, reader.at("owners"));
    auto const entries = names_of(value.m_entries, reader.at("entries"));
    check_entries(value, owners, groups, reader.at("entries"));
    names_of(value.m_traffic, reader.at("traffic"));
    check_traffic(value, entries, reader.at("traffic"));
}

} // namespace camphortide::transport
