#include <nlohmann/json.hpp>

#include <camphortide/load/report/run_report.hpp>

namespace camphortide::load
{

namespace
{

using json = nlohmann::ordered_json;

json to_json(quantiles const& value)
{
    return {{"count", value.m_count},
            {"p50", value.m_p50},
            {"p99", value.m_p99},
            {"p99_9", value.m_p999},
            {"max", value.m_max}};
}

double share(std::uint64_t part, std::uint64_t whole)
{
    return whole == 0 ? 0.0
                      : static_cast<double>(part) / static_cast<double>(whole);
}

double in_mib(std::uint64_t bytes)
{
    constexpr double bytes_per_mib = 1024.0 * 1024.0;
    return static_cast<double>(bytes) / bytes_per_mib;
}

void add_counts(json& to, class_summary const& value)
{
    to["requests"] = value.m_requests;
    to["executed"] = value.m_executed;
    to["not_executed"] = value.m_not_executed;
    to["unknown"] = value.m_unknown;
    to["rolled_back"] = value.m_rolled_back;
    to["repeats"] = value.m_repeats;
    to["reads"] = value.m_reads;
    to["replica_share"] = share(value.m_from_replica, value.m_reads);
    to["replica_share_allowed"] = share(value.m_replica_allowed, value.m_reads);
    to["latency_ms"] = to_json(value.m_latency);
    to["age_ms"] = to_json(value.m_age);
}

struct violation_counter
{
    char const* m_name;
    guarantee m_guarantee;
};

constexpr violation_counter violation_counters[] = {
    {"lost", guarantee::acknowledged_writes_stay},
    {"doubled", guarantee::at_most_once},
    {"not_executed_but_ran", guarantee::not_executed_is_true},
    {"age_breaks", guarantee::age_of_answers},
    {"crossed", guarantee::own_answers},
    {"mixed", guarantee::unmixed_transactions},
    {"partial_transactions", guarantee::whole_transactions},
    {"work_for_leavers", guarantee::no_work_for_leavers},
    {"interrupted_by_stops", guarantee::stops_interrupt_nothing},
    {"catalogue_breaks", guarantee::catalogue_in_force}};

void add_violations(json& to,
                    std::vector<guarantee_violation> const& violations)
{
    for (auto const& each : violation_counters)
    {
        to[each.m_name] = count_violations(violations, each.m_guarantee);
    }
    to["session_breaks"] =
        count_violations(violations, guarantee::read_your_writes) +
        count_violations(violations, guarantee::monotonic_reads);
    to["breaks"] = json::array();
    for (auto const& each : violations)
    {
        json attempts = json::array();
        for (auto const& attempt : each.m_attempts)
        {
            attempts.push_back(to_line(attempt));
        }
        to["breaks"].push_back({{"promise", to_string(each.m_guarantee)},
                                {"explanation", each.m_explanation},
                                {"attempts", std::move(attempts)}});
    }
}

} // namespace

std::string to_json(report_title const& title, run_result const& result)
{
    json value;
    value["deployment"] = title.m_deployment;
    value["command"] = title.m_command;
    value["kept"] = guarantees_held(result);
    add_counts(value, result.m_summary.m_all);
    add_violations(value, result.m_violations);
    value["refused_attempts"] = json::object();
    for (auto const& [reason, count] : result.m_summary.m_refusals)
    {
        value["refused_attempts"][std::string(to_string(reason))] = count;
    }
    value["planned_stops"] = result.m_summary.m_planned_stops;
    value["failover_gap_ms"] = result.m_summary.m_failover_gaps;
    value["losses_not_healed"] = result.m_summary.m_unrecovered_losses;
    value["catalogue_in_force_ms"] = result.m_summary.m_propagation_times;
    value["groups_without_primary"] = result.m_groups_without_primary;
    value["kept_by_run_mib"] = in_mib(result.m_retained_bytes);
    value["memory"] = json::array();
    for (auto const& sample : result.m_memory)
    {
        value["memory"].push_back(
            {{"at_s", std::chrono::duration<double>(sample.m_at).count()},
             {"resident_mib", in_mib(sample.m_resident_bytes)},
             {"attempts", sample.m_attempts}});
    }
    value["classes"] = json::array();
    for (auto const& one : result.m_summary.m_classes)
    {
        json item{{"customer", one.m_customer}, {"class", one.m_class_name}};
        add_counts(item, one);
        value["classes"].push_back(std::move(item));
    }
    constexpr int indent = 2;
    return value.dump(indent) + '\n';
}

} // namespace camphortide::load
