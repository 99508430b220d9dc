#include "commands.hpp"
#include "option_parser.hpp"
#include "run_options.hpp"
#include "run_output.hpp"

#include <chrono>
#include <vector>

#include <camphortide/load/demo/load_run.hpp>
#include <camphortide/transport/logging/log.hpp>

namespace camphortide::command_line
{

namespace
{

namespace options = boost::program_options;

constexpr char const* explanation =
    "Sends the traffic of a deployment's callers to running instances.\n"
    "ADDRESS is where an instance serves callers, HOST:PORT. The promises are\n"
    "checked as far as the replies show them; `demo` checks all.";
void add_options(option_parser& parser)
{
    add_run_options(parser);
    parser.add()("warm-up", options::value<double>()->default_value(1),
                 "seconds at the start that are not part of the results");
    parser.positional("address", -1);
}

/// @return a unique name for this run
std::string run_name(std::uint64_t seed)
{
    auto const now = std::chrono::system_clock::now().time_since_epoch();
    return std::to_string(seed) + '-' +
           std::to_string(
               std::chrono::duration_cast<std::chrono::milliseconds>(now)
                   .count());
}

load::load_options read_options(option_parser const& parser)
{
    load::load_options result;
    for (auto const& address : parser.get<std::vector<std::string>>("address"))
    {
        result.m_instances.push_back({address, address});
    }
    result.m_duration = to_run_time(parser.get<double>("seconds"));
    result.m_warm_up = to_run_time(parser.get<double>("warm-up"));
    result.m_seed = parser.get<std::uint64_t>("seed");
    result.m_run = run_name(result.m_seed);
    return result;
}

} // namespace

exit_code run_load(arguments const& args, console const& output)
{
    option_parser parser("load [options] ADDRESS...", explanation);
    add_options(parser);
    if (auto const ended = parser.parse(args, output))
    {
        return *ended;
    }
    if (!parser.has("address") || parser.get<double>("seconds") <= 0)
    {
        output.m_error << "camphortide: load needs an address and more than 0 "
                          "seconds\n";
        return exit_code::usage;
    }
    auto const deployment =
        read_deployment(parser.get<std::string>("deployment"), output);
    if (!deployment)
    {
        return exit_code::usage;
    }
    transport::start_logging("camphortide", {}, transport::log_level::error);
    auto const run_options = read_options(parser);
    auto const result =
        load::run_load(*deployment, run_options,
                       progress_on_terminal(run_options.m_duration, output));
    return print_result({deployment->m_name, command_text("load", args)},
                        result, parser, output);
}

} // namespace camphortide::command_line
