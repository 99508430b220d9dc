#include "status_text.hpp"

#include "text_table.hpp"

#include <algorithm>
#include <array>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace camphortide::command_line
{

namespace
{

std::string lower_name(std::string name, std::size_t prefix)
{
    name.erase(0, std::min(prefix, name.size()));
    std::transform(name.begin(), name.end(), name.begin(),
                   [](char c)
                   {
                       bool const upper = c >= 'A' && c <= 'Z';
                       return upper ? static_cast<char>(c - 'A' + 'a') : c;
                   });
    return name;
}

std::string name_of(admin::v1::InstanceState state)
{
    return lower_name(admin::v1::InstanceState_Name(state),
                      sizeof("INSTANCE_STATE_") - 1);
}

std::string name_of(admin::v1::MemberRole role)
{
    return lower_name(admin::v1::MemberRole_Name(role),
                      sizeof("MEMBER_ROLE_") - 1);
}

std::string state_of(admin::v1::MemberStatus const& member)
{
    if (!member.reachable())
    {
        return "unreachable";
    }
    return member.leaving() ? "leaving" : "ready";
}

/// Formats the catalogue version of an instance; "unknown" if none was
/// reported.
std::string version_of(admin::v1::InstanceStatus const& instance)
{
    return instance.catalogue_version() == 0
               ? std::string("unknown")
               : std::to_string(instance.catalogue_version());
}

/// Lists the instances by the catalogue version in force, the newest version
/// first.
std::string in_force_text(admin::v1::StatusReply const& status)
{
    std::map<std::uint64_t, std::vector<std::string>, std::greater<>> names;
    for (auto const& each : status.instances())
    {
        bool const serves = each.state() != admin::v1::INSTANCE_STATE_GONE &&
                            each.state() != admin::v1::INSTANCE_STATE_LEAVING;
        if (serves)
        {
            names[each.catalogue_version()].push_back(each.name());
        }
    }
    std::string text;
    for (auto const& [version, holders] : names)
    {
        text += version == 0
                    ? std::string("  no version known at")
                    : "  version " + std::to_string(version) + " in force at";
        for (auto const& name : holders)
        {
            text += ' ' + name;
        }
        text += '\n';
    }
    return text;
}

std::string summary(admin::v1::StatusReply const& status)
{
    std::string text = "instance ";
    text +=
        status.name() +
        (status.region().empty() ? std::string() : " in " + status.region()) +
        ", version " + status.program_version() + ", up " +
        std::to_string(status.uptime_ms() / 1000) + " s\n";
    text += "catalogue version " + std::to_string(status.catalogue_version()) +
            " with " + std::to_string(status.catalogue_entries()) +
            " entries\n" + in_force_text(status);
    text += status.platform_reachable()
                ? std::string("platform reachable\n")
                : "platform silent for " +
                      std::to_string(status.platform_silence_ms()) + " ms\n";
    text += std::to_string(status.caller_connections()) +
            " connections of callers, " +
            std::to_string(status.requests_in_flight()) +
            " requests in flight\n";
    return text;
}

std::string instances_text(admin::v1::StatusReply const& status)
{
    text_table table(
        {"instance", "data centre", "state", "catalogue", "heartbeat"});
    for (auto const& each : status.instances())
    {
        table.add({each.name(), each.data_centre(), name_of(each.state()),
                   version_of(each),
                   std::to_string(each.heartbeat_age_ms()) + " ms"});
    }
    return table.text();
}

std::string group_header(admin::v1::GroupStatus const& group)
{
    std::string text = "group ";
    text +=
        group.name() + ": term " + std::to_string(group.term()) + ", primary " +
        (group.primary().empty() ? std::string("unknown") : group.primary()) +
        ", safe index " + std::to_string(group.safe_index()) + ", " +
        std::to_string(group.queued()) + " waiting\n  homes:";
    for (auto const& home : group.homes())
    {
        text += ' ';
        text += home;
    }
    return text + '\n';
}

std::string group_text(admin::v1::GroupStatus const& group)
{
    text_table table({"member", "data centre", "role", "state", "term",
                      "received", "applied", "lag", "connections",
                      "idle/busy/budget", "slots"});
    for (auto const& each : group.members())
    {
        table.add({each.name(), each.data_centre(), name_of(each.role()),
                   state_of(each), std::to_string(each.granted_term()),
                   std::to_string(each.received_index()),
                   std::to_string(each.applied_index()),
                   std::to_string(each.lag_records()) + " (" +
                       std::to_string(each.lag_ms()) + " ms)",
                   std::to_string(each.connections()) + "/" +
                       std::to_string(each.connection_limit()),
                   std::to_string(each.connections_idle()) + "/" +
                       std::to_string(each.connections_busy()) + "/" +
                       std::to_string(each.connection_budget()),
                   std::to_string(each.slots())});
    }
    return group_header(group) + table.text();
}

/// Formats the upper bound of the bucket that contains a quantile.
std::string quantile(admin::v1::Histogram const& histogram, double fraction)
{
    if (histogram.count() == 0)
    {
        return "-";
    }
    auto const rank = fraction * static_cast<double>(histogram.count());
    std::uint64_t cumulative = 0;
    for (int i = 0; i < histogram.bounds_size(); ++i)
    {
        cumulative += i < histogram.counts_size() ? histogram.counts(i) : 0;
        if (static_cast<double>(cumulative) >= rank)
        {
            std::array<char, 32> text{};
            std::snprintf(text.data(), text.size(), "<= %g ms",
                          histogram.bounds(i));
            return text.data();
        }
    }
    return "above all";
}

template <typename Counters>
std::string counters_text(Counters const& counters)
{
    std::string text;
    for (auto const& each : counters)
    {
        if (each.value() > 0)
        {
            text += ' ';
            text += each.name() + "=" + std::to_string(each.value());
        }
    }
    return text.empty() ? std::string(" none") : text;
}

} // namespace

std::string status_text(admin::v1::StatusReply const& status)
{
    std::string text = summary(status) + instances_text(status);
    for (auto const& group : status.groups())
    {
        text += group_text(group);
    }
    return text;
}

std::string metrics_text(admin::v1::MetricsReply const& metrics)
{
    text_table table({"customer", "class", "requests", "p50", "p99",
                      "queue p99", "age p99"});
    std::string counters;
    for (auto const& each : metrics.classes())
    {
        table.add({each.customer(), each.traffic_class(),
                   std::to_string(each.latency().count()),
                   quantile(each.latency(), 0.5),
                   quantile(each.latency(), 0.99),
                   quantile(each.queue_wait(), 0.99),
                   quantile(each.answer_age(), 0.99)});
        counters += each.customer() + "/" + each.traffic_class() +
                    "\n  outcomes:" + counters_text(each.outcomes()) +
                    "\n  routing:" + counters_text(each.routing()) +
                    "\n  limits:" + counters_text(each.limits()) + '\n';
    }
    return table.text() + counters;
}

} // namespace camphortide::command_line
