#include "instance_gauges.hpp"

namespace camphortide::proxy
{

namespace
{

using gauges = std::vector<transport::gauge_sample>;

void add_member(gauges& result, member_gauge const& member)
{
    std::vector<transport::metric_label> const labels{
        {"group", member.m_group}, {"member", member.m_member}};
    result.push_back({"member_connections", "connections to a member", labels,
                      static_cast<double>(member.m_connections)});
    result.push_back({"member_in_flight", "statements at a member", labels,
                      static_cast<double>(member.m_in_flight)});
    result.push_back({"member_connections_opened",
                      "connections opened to a member", labels,
                      static_cast<double>(member.m_connections_opened)});
    result.push_back({"member_connections_reassigned",
                      "connections closed for another customer", labels,
                      static_cast<double>(member.m_connections_reassigned)});
    result.push_back({"member_opening_waits",
                      "statements that waited for a connection to open", labels,
                      static_cast<double>(member.m_opening_waits)});
    result.push_back({"member_connections_in_use",
                      "connections to a member that statements, transactions "
                      "or their ends use",
                      labels,
                      static_cast<double>(member.m_connections_in_use)});
    result.push_back({"member_longest_use_ms",
                      "how long one connection has been in use, at most",
                      labels,
                      static_cast<double>(member.m_longest_use.count())});
    result.push_back({"member_connections_overdue",
                      "connections closed because a reply was overdue", labels,
                      static_cast<double>(member.m_overdue)});
    result.push_back({"member_lag_ms", "lag behind the primary", labels,
                      static_cast<double>(member.m_lag.count())});
    result.push_back({"group_waiting", "statements that wait for a member",
                      labels, static_cast<double>(member.m_waiting)});
}

void add_reads(gauges& result, std::string const& group,
               read_counts const& counts)
{
    auto const add = [&](char const* where, std::uint64_t count)
    {
        result.push_back({"reads",
                          "reads sent, by where and why",
                          {{"group", group}, {"where", where}},
                          static_cast<double>(count)});
    };
    add("replica", counts.m_replica);
    add("primary_asked", counts.m_primary_required);
    add("primary_no_position", counts.m_no_position);
    add("primary_replicas_lag", counts.m_replicas_lag);
    add("primary_replicas_full", counts.m_replicas_full);
}

void add_allowance(gauges& result, allowance_counts const& counts)
{
    auto const customer =
        counts.m_customer.empty() ? "others" : counts.m_customer;
    auto const add = [&](char const* outcome, std::uint64_t count)
    {
        result.push_back({"allowance_operations",
                          "operations of limited customers",
                          {{"customer", customer}, {"outcome", outcome}},
                          static_cast<double>(count)});
    };
    add("granted", counts.m_granted);
    add("refused", counts.m_refused);
}

} // namespace

std::vector<transport::gauge_sample> traffic_gauges(traffic const& source)
{
    gauges all;
    all.push_back({"sessions",
                   "sessions of callers",
                   {},
                   static_cast<double>(source.sessions())});
    all.push_back({"forwarding_instances",
                   "instances that send statements here",
                   {},
                   static_cast<double>(source.links())});
    for (auto const& member : source.gauges())
    {
        add_member(all, member);
    }
    for (auto const& [group, counts] : source.reads())
    {
        add_reads(all, group, counts);
    }
    for (auto const& counts : source.allowances())
    {
        add_allowance(all, counts);
    }
    return all;
}

std::vector<transport::gauge_sample> update_gauges(fleet_control const& source)
{
    gauges all;
    for (auto const& status : source.update_statuses(state::clock::now()))
    {
        auto const add = [&](char const* name, char const* help, auto value)
        {
            all.push_back({name,
                           help,
                           {{"kind", status.m_kind}},
                           static_cast<double>(value)});
        };
        add("update_age_ms", "time since the store's last response",
            status.m_age.count());
        add("updates_sent", "store updates sent to other instances",
            status.m_sent.m_responses);
        add("update_snapshots_sent", "of these, with all objects",
            status.m_sent.m_snapshots);
        add("update_bytes_sent", "bytes of store updates sent",
            status.m_sent.m_bytes);
    }
    if (auto const configuration = source.configuration())
    {
        all.push_back({"configuration_version",
                       "version of the configuration in force",
                       {},
                       static_cast<double>(configuration->m_version)});
    }
    all.push_back({"store_era",
                   "era of the store whose records are in force",
                   {},
                   static_cast<double>(source.records().m_era)});
    return all;
}

std::vector<transport::gauge_sample>
replacement_gauges(replacement_control const& source)
{
    gauges all;
    all.push_back({"holds_duty",
                   "1: it replaces primaries",
                   {},
                   source.holds_duty() ? 1.0 : 0.0});
    for (auto const& [group, count] : source.given_up_terms())
    {
        all.push_back({"terms_given_up",
                       "primaries chosen without the log of the term before",
                       {{"group", group}},
                       static_cast<double>(count)});
    }
    return all;
}

} // namespace camphortide::proxy
