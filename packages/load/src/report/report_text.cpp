#include <algorithm>
#include <iomanip>
#include <sstream>

#include <camphortide/load/report/run_report.hpp>

namespace camphortide::load
{

namespace
{

constexpr std::size_t max_violations_shown = 20;
constexpr int name_width = 32;
constexpr int width = 10;

std::string percent(std::uint64_t part, std::uint64_t whole)
{
    if (whole == 0)
    {
        return "-";
    }
    std::ostringstream out;
    out << std::fixed << std::setprecision(1)
        << 100.0 * static_cast<double>(part) / static_cast<double>(whole)
        << '%';
    return out.str();
}

void append_class(std::ostringstream& out, std::string const& name,
                  class_summary const& one)
{
    out << std::left << std::setw(name_width) << name << std::right
        << std::setw(width) << one.m_requests << std::setw(width)
        << one.m_executed << std::setw(width) << one.m_not_executed
        << std::setw(width) << one.m_unknown << std::setw(width)
        << one.m_rolled_back << std::setw(width) << one.m_repeats
        << std::setw(width) << one.m_latency.m_p50 << std::setw(width)
        << one.m_latency.m_p99 << std::setw(width) << one.m_latency.m_p999
        << std::setw(width) << percent(one.m_from_replica, one.m_reads)
        << std::setw(width) << percent(one.m_replica_allowed, one.m_reads)
        << std::setw(width) << one.m_age.m_p50 << std::setw(width)
        << one.m_age.m_p99 << '\n';
}

void append_classes(std::ostringstream& out, run_summary const& summary)
{
    constexpr char const* headings[] = {
        "requests", "executed", "not ex.", "unknown",  "rolled b.",
        "repeats",  "p50 ms",   "p99 ms",  "p99.9 ms", "replica",
        "allowed",  "age p50",  "age p99"};
    out << std::left << std::setw(name_width) << "customer/class" << std::right;
    for (auto const* const heading : headings)
    {
        out << std::setw(width) << heading;
    }
    out << '\n' << std::fixed << std::setprecision(1);
    for (auto const& one : summary.m_classes)
    {
        append_class(out, one.m_customer + '/' + one.m_class_name, one);
    }
    append_class(out, "all", summary.m_all);
}

void append_range(std::ostringstream& out, char const* name,
                  std::vector<double> values)
{
    if (values.empty())
    {
        return;
    }
    std::ranges::sort(values);
    auto const middle = values.size() / 2;
    double const median = values.size() % 2 == 1
                              ? values[middle]
                              : (values[middle - 1] + values[middle]) / 2;
    out << name << ": min " << values.front() << " ms, median " << median
        << " ms, max " << values.back() << " ms over " << values.size() << '\n';
}

void append_refusals(std::ostringstream& out, run_summary const& summary)
{
    for (auto const& [reason, count] : summary.m_refusals)
    {
        out << "attempts refused, " << to_string(reason) << ": " << count
            << '\n';
    }
    if (summary.m_planned_stops > 0)
    {
        out << "planned stops of instances: " << summary.m_planned_stops
            << '\n';
    }
}

void append_memory(std::ostringstream& out, run_result const& result)
{
    if (result.m_memory.empty())
    {
        return;
    }
    constexpr std::uint64_t bytes_per_mib = std::uint64_t{1024} * 1024;
    out << "memory: "
        << result.m_memory.front().m_resident_bytes / bytes_per_mib
        << " MiB at first, "
        << result.m_memory.back().m_resident_bytes / bytes_per_mib
        << " MiB at last; the run's own history and logs "
        << result.m_retained_bytes / bytes_per_mib << " MiB\n";
}

void append_violations(std::ostringstream& out,
                       std::vector<guarantee_violation> const& violations)
{
    std::size_t shown = 0;
    for (auto const& each : violations)
    {
        if (++shown > max_violations_shown)
        {
            out << "and " << violations.size() - max_violations_shown
                << " more\n";
            return;
        }
        out << "BROKEN " << to_string(each.m_guarantee) << ": "
            << each.m_explanation << '\n';
        for (auto const& attempt : each.m_attempts)
        {
            out << "    " << to_line(attempt) << '\n';
        }
    }
}

} // namespace

std::string to_text(report_title const& title, run_result const& result)
{
    std::ostringstream out;
    out << title.m_deployment << "\n\n";
    append_classes(out, result.m_summary);
    out << '\n';
    append_refusals(out, result.m_summary);
    append_range(out, "failover gap", result.m_summary.m_failover_gaps);
    if (result.m_summary.m_unrecovered_losses > 0)
    {
        out << "losses without a write by another member: "
            << result.m_summary.m_unrecovered_losses << '\n';
    }
    append_range(out, "catalogue change in force",
                 result.m_summary.m_propagation_times);
    for (auto const& group : result.m_groups_without_primary)
    {
        out << "group " << group << " has no primary; its writes are not "
            << "judged\n";
    }
    append_memory(out, result);
    append_violations(out, result.m_violations);
    out << (guarantees_held(result) ? "no broken promise was found\n"
                                    : "promises were broken\n");
    return out.str();
}

bool guarantees_held(run_result const& result)
{
    return result.m_started && result.m_violations.empty() &&
           result.m_groups_without_primary.empty();
}

} // namespace camphortide::load
