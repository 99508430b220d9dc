#include "commands.hpp"
#include "option_parser.hpp"

#include <algorithm>
#include <filesystem>
#include <fstream>

#include <camphortide/load/trace/group_scenario.hpp>
#include <camphortide/load/trace/trace_replay.hpp>

namespace camphortide::command_line
{

namespace
{

namespace files = std::filesystem;

constexpr char const* explanation =
    "Replays recorded inputs through the decision code with the clock of the\n"
    "trace, and compares actions and outcomes with the recorded ones. PATH is\n"
    "a trace or a folder of traces.";
constexpr char const* extension = ".jsonl";

std::vector<files::path> trace_paths(std::vector<std::string> const& paths)
{
    std::vector<files::path> result;
    for (files::path const path : paths)
    {
        if (!files::is_directory(path))
        {
            result.push_back(path);
            continue;
        }
        for (auto const& each : files::directory_iterator(path))
        {
            if (each.path().extension() == extension)
            {
                result.push_back(each.path());
            }
        }
    }
    std::ranges::sort(result);
    return result;
}

/// @return whether the trace passed
bool replay_file(files::path const& path, console const& output)
{
    std::ifstream in(path);
    auto const result = load::replay(in);
    for (auto const& each : result.m_differences)
    {
        output.m_out << path.string() << ':' << each.m_line << " at "
                     << each.m_time_ms << " ms: " << to_string(each.m_kind)
                     << "\n  stated: " << each.m_expected
                     << "\n  found:  " << each.m_actual << '\n';
    }
    output.m_out << path.string() << ": "
                 << (result.passed() ? "passed" : "failed") << ", "
                 << result.m_steps << " steps\n";
    return result.passed();
}

exit_code record_scenes(files::path const& folder, console const& output)
{
    std::error_code ignored;
    files::create_directories(folder, ignored);
    for (auto const& scenario : load::known_scenarios())
    {
        auto const path = folder / (std::string(scenario.m_name) + extension);
        std::ofstream out(path);
        out << load::record_scenario(scenario);
        if (!out.flush())
        {
            output.m_error << "camphortide: cannot write " << path.string()
                           << '\n';
            return exit_code::refused;
        }
    }
    output.m_out << load::known_scenarios().size() << " recorded\n";
    return exit_code::done;
}

} // namespace

exit_code run_replay(arguments const& args, console const& output)
{
    option_parser parser("replay PATH...", explanation);
    parser.add()("record-scenes", boost::program_options::value<std::string>(),
                 "record the known scenes into this folder instead");
    parser.positional("path", -1);
    if (auto const ended = parser.parse(args, output))
    {
        return *ended;
    }
    if (parser.has("record-scenes"))
    {
        return record_scenes(parser.get<std::string>("record-scenes"), output);
    }
    if (!parser.has("path"))
    {
        output.m_error << "camphortide: replay needs a path\n";
        return exit_code::usage;
    }
    std::size_t passed = 0;
    auto const paths =
        trace_paths(parser.get<std::vector<std::string>>("path"));
    for (auto const& path : paths)
    {
        passed += replay_file(path, output) ? 1U : 0U;
    }
    auto const failed = paths.size() - passed;
    output.m_out << passed << " passed, " << failed << " failed\n";
    return failed == 0 && passed > 0 ? exit_code::done : exit_code::refused;
}

} // namespace camphortide::command_line
