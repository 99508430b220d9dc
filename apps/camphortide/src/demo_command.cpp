#include "commands.hpp"
#include "option_parser.hpp"
#include "run_options.hpp"
#include "run_output.hpp"
#include "stand_in_host.hpp"

#include <algorithm>
#include <sstream>

#include <camphortide/load/demo/baseline.hpp>
#include <camphortide/load/demo/demo_run.hpp>
#include <camphortide/transport/logging/log.hpp>
#include <camphortide/transport/settings/deployment_file.hpp>

namespace camphortide::command_line
{

namespace
{

namespace options = boost::program_options;

constexpr char const* explanation =
    "Runs a whole deployment in this process: the stand-ins of the platform\n"
    "and of the database groups, and real instances that talk over loopback.\n"
    "Callers send the deployment's traffic; faults are injected on request.\n"
    "Ends with a report and a check of every promise.";
constexpr double s_per_minute = 60;

void add_options(option_parser& parser)
{
    add_run_options(parser);
    auto add = parser.add();
    add("fault", options::value<std::string>(),
        "faults to inject together: NAME[,NAME]");
    add("at", options::value<double>()->default_value(7),
        "seconds until the fault");
    add("hold", options::value<double>()->default_value(6),
        "seconds until the fault is removed");
    add("every", options::value<double>()->default_value(0),
        "seconds between repeats of the fault; 0: once");
    add("soak", options::value<double>(),
        "minutes of random pairs of faults, one after another");
    add("baseline", options::value<std::string>()->default_value("default"),
        "a simpler policy to compare with");
    add("stand-ins-only", "run no instance and no caller; prints the "
                          "platform's address");
    add("list-faults", "print the names of the faults");
    add("list-baselines", "print the names of the baselines");
    add("verbose", "keep the logs of the instances");
}

std::vector<std::string> split(std::string const& names)
{
    std::vector<std::string> result;
    std::istringstream in(names);
    for (std::string name; std::getline(in, name, ',');)
    {
        result.push_back(name);
    }
    return result;
}

exit_code list_faults(console const& output)
{
    for (auto const& each : load::fault_injector::faults())
    {
        output.m_out << each.m_name << ": " << each.m_summary << '\n';
    }
    return exit_code::done;
}

exit_code list_baselines(console const& output)
{
    for (auto const& each : load::baselines())
    {
        output.m_out << each.m_name << ": " << each.m_summary << '\n';
    }
    return exit_code::done;
}

/// Prints a warning if the baseline breaks promises by design.
void warn_about_baseline(std::string const& name, console const& output)
{
    if (load::find_baseline(name)->m_violates_guarantees)
    {
        output.m_error
            << "camphortide: the baseline \"" << name
            << "\" breaks promises on purpose; broken ones below are "
               "its own\n";
    }
}

/// @return the options; nullopt if they are invalid, after an error was printed
std::optional<load::demo_options> read_options(option_parser const& parser,
                                               console const& output)
{
    load::demo_options result;
    result.m_duration = to_run_time(parser.get<double>("seconds"));
    result.m_seed = parser.get<std::uint64_t>("seed");
    result.m_fault_at = to_run_time(parser.get<double>("at"));
    result.m_fault_duration = to_run_time(parser.get<double>("hold"));
    result.m_fault_interval = to_run_time(parser.get<double>("every"));
    if (parser.has("fault"))
    {
        result.m_faults = split(parser.get<std::string>("fault"));
    }
    for (auto const& name : result.m_faults)
    {
        if (load::fault_injector::find(name) == nullptr)
        {
            output.m_error << "camphortide: there is no fault \"" << name
                           << "\"; see demo --list-faults\n";
            return std::nullopt;
        }
    }
    result.m_baseline = parser.get<std::string>("baseline");
    if (load::find_baseline(result.m_baseline) == nullptr)
    {
        output.m_error << "camphortide: there is no baseline \""
                       << result.m_baseline
                       << "\"; see demo --list-baselines\n";
        return std::nullopt;
    }
    if (parser.has("soak"))
    {
        result.m_soak = true;
        result.m_duration =
            to_run_time(parser.get<double>("soak") * s_per_minute);
    }
    bool const valid = result.m_duration.count() > 0 &&
                       result.m_fault_at.count() >= 0 &&
                       result.m_fault_duration.count() > 0 &&
                       result.m_fault_interval.count() >= 0;
    if (!valid)
    {
        output.m_error
            << "camphortide: times must not be negative, and seconds "
               "and hold more than 0\n";
        return std::nullopt;
    }
    return result;
}

} // namespace

exit_code run_demo(arguments const& args, console const& output)
{
    option_parser parser("demo [options]", explanation);
    add_options(parser);
    if (auto const ended = parser.parse(args, output))
    {
        return *ended;
    }
    if (parser.has("list-faults"))
    {
        return list_faults(output);
    }
    if (parser.has("list-baselines"))
    {
        return list_baselines(output);
    }
    auto const run_options = read_options(parser, output);
    auto const deployment =
        read_deployment(parser.get<std::string>("deployment"), output);
    if (!run_options || !deployment)
    {
        return exit_code::usage;
    }
    warn_about_baseline(run_options->m_baseline, output);
    transport::start_logging("camphortide", {},
                             parser.has("verbose")
                                 ? transport::log_level::info
                                 : transport::log_level::error);
    if (parser.has("stand-ins-only"))
    {
        return serve_stand_ins(*deployment, run_options->m_duration, output);
    }
    auto const result =
        load::run_demo(*deployment, *run_options,
                       progress_on_terminal(run_options->m_duration, output));
    if (!result.m_started)
    {
        output.m_error << "camphortide: the deployment did not start\n";
        return exit_code::refused;
    }
    return print_result({deployment->m_name, command_text("demo", args)},
                        result, parser, output);
}

} // namespace camphortide::command_line
