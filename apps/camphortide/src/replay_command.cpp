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
    "Feeds recorded inputs to the decisions on the traces' own clock, and\n"
    "compares actions and outcomes with those that the traces state. A PATH "
    "is\n"
    "a trace or a folder of traces.";
constexpr char const* extension = ".jsonl";

std::vector<files::path> traces_of(std::vector<std::string> const& paths)
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
bool replay_file(files::path const& path, console const& to)
{
    std::ifstream in(path);
    auto const result = load::replay(in);
    for (auto const& each : result.m_differences)
    {
        to.m_out << path.string() << ':' << each.m_line << " at "
                 << each.m_time_ms << " ms: " << to_string(each.m_kind)
                 << "\n  stated: " << each.m_expected
                 << "\n  found:  " << each.m_actual << '\n';
    }
    to.m_out << path.string() << ": " << (result.passed() ? "passed" : "failed")
             << ", " << result.m_steps << " steps\n";
    return result.passed();
}

exit_code record_scenes(files::path const& folder, console const& to)
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
            to.m_error << "camphortide: cannot write " << path.string() << '\n';
            return exit_code::refused;
        }
    }
    to.m_out << load::known_scenarios().size() << " recorded\n";
    return exit_code::done;
}

} // namespace

exit_code run_replay(arguments const& words, console const& to)
{
    option_parser parser("replay PATH...", explanation);
    parser.add()("record-scenes", boost::program_options::value<std::string>(),
                 "record the known scenes into this folder instead");
    parser.positional("path", -1);
    if (auto const ended = parser.parse(words, to))
    {
        return *ended;
    }
    if (parser.has("record-scenes"))
    {
        return record_scenes(parser.get<std::string>("record-scenes"), to);
    }
    if (!parser.has("path"))
    {
        to.m_error << "camphortide: replay needs a path\n";
        return exit_code::usage;
    }
    std::size_t passed = 0;
    auto const paths = traces_of(parser.get<std::vector<std::string>>("path"));
    for (auto const& path : paths)
    {
        passed += replay_file(path, to) ? 1U : 0U;
    }
    auto const failed = paths.size() - passed;
    to.m_out << passed << " passed, " << failed << " failed\n";
    return failed == 0 && passed > 0 ? exit_code::done : exit_code::refused;
}

} // namespace camphortide::command_line
