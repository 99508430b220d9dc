#include "commands.hpp"
#include "option_parser.hpp"
#include "text_table.hpp"

#include <filesystem>
#include <fstream>
#include <iomanip>
#include <sstream>

#include <nlohmann/json.hpp>

#include <camphortide/load/losses/loss_report.hpp>

namespace camphortide::command_line
{

namespace
{

constexpr char const* explanation =
    "Reads the structured logs of instances and shows which requests were\n"
    "refused, failed or late: by second, group, class and cause, those with\n"
    "most requests first. A line may start with the name of its instance;\n"
    "otherwise the instance is named after the file. Instances hold lines\n"
    "back above a rate; the held-back column counts them.";
constexpr std::size_t default_rows = 30;
/// Progress is shown each time that this many bytes were read.
constexpr std::uint64_t progress_bytes = std::uint64_t{64} << 20U;

std::string clock_text(std::int64_t second)
{
    constexpr std::int64_t day = 86400;
    auto const time = (second % day + day) % day;
    std::ostringstream text;
    text << std::setfill('0') << std::setw(2) << time / 3600 << ':'
         << std::setw(2) << time / 60 % 60 << ':' << std::setw(2) << time % 60;
    return text.str();
}

/// @return false if the file can't be read
bool read_file(std::string const& path, load::loss_report& report,
               console const& output)
{
    std::ifstream in(path);
    if (!in)
    {
        output.m_error << "camphortide: cannot read " << path << '\n';
        return false;
    }
    auto const instance = std::filesystem::path(path).stem().string();
    std::uint64_t bytes = 0;
    std::uint64_t next_progress = progress_bytes;
    for (std::string line; std::getline(in, line);)
    {
        report.read(line, instance);
        bytes += line.size() + 1;
        if (bytes >= next_progress)
        {
            output.m_error << path << ": " << (bytes >> 20U) << " MiB\n";
            next_progress += progress_bytes;
        }
    }
    return true;
}

void print_table(load::loss_report const& report, std::size_t rows,
                 console const& output)
{
    text_table table({"time", "group", "class", "outcome", "cause", "requests",
                      "held back", "waited ms", "most", "permit age ms",
                      "sent by"});
    auto const spans = report.spans();
    for (std::size_t i = 0; i < std::min(rows, spans.size()); ++i)
    {
        auto const& [key, count] = spans[i];
        auto const mean =
            count.m_waited_ms / static_cast<std::int64_t>(count.m_requests);
        auto const sender = std::ranges::max_element(
            count.m_entries, {}, [](auto const& each) { return each.second; });
        table.add({clock_text(key.m_second), key.m_group, key.m_route,
                   std::string(to_string(key.m_kind)), key.m_cause,
                   std::to_string(count.m_requests),
                   std::to_string(count.m_held_back), std::to_string(mean),
                   std::to_string(count.m_max_waited_ms),
                   std::to_string(count.m_max_permit_age_ms),
                   sender == count.m_entries.end() ? "" : sender->first});
    }
    output.m_out << table.text();
    if (spans.size() > rows)
    {
        output.m_out << spans.size() - rows << " more, see --rows\n";
    }
}

void print_json(load::loss_report const& report, console const& output)
{
    auto losses = nlohmann::json::array();
    for (auto const& [key, count] : report.details())
    {
        losses.push_back({{"second", key.m_second},
                          {"group", key.m_group},
                          {"class", key.m_route},
                          {"outcome", to_string(key.m_kind)},
                          {"cause", key.m_cause},
                          {"instance", key.m_instance},
                          {"member", key.m_member},
                          {"requests", count.m_requests},
                          {"held_back", count.m_held_back},
                          {"waited_ms", count.m_waited_ms},
                          {"max_waited_ms", count.m_max_waited_ms},
                          {"max_permit_age_ms", count.m_max_permit_age_ms},
                          {"sent_by", count.m_entries}});
    }
    nlohmann::json const all{{"lines", report.lines()},
                             {"unknown_lines", report.unknown_lines()},
                             {"answered", report.answered()},
                             {"held_back", report.held_back()},
                             {"condensed", report.condensed()},
                             {"losses", std::move(losses)}};
    output.m_out << all.dump(2, ' ', false,
                             nlohmann::json::error_handler_t::replace)
                 << '\n';
}

void print_summary(load::loss_report const& report, console const& output)
{
    output.m_out << report.lines() << " lines, " << report.answered()
                 << " requests answered in time, " << report.held_back()
                 << " lines held back by instances\n";
    if (report.condensed())
    {
        output.m_out << "some losses are counted without their instance: too "
                        "many different ones\n";
    }
    if (report.unknown_lines() > 0)
    {
        output.m_error << "camphortide: " << report.unknown_lines()
                       << " lines are not log lines of an instance, the first: "
                       << report.first_unknown_line() << '\n';
    }
}

} // namespace

exit_code run_losses(arguments const& args, console const& output)
{
    option_parser parser("losses FILE...", explanation);
    parser.add()("json", "print all losses by instance and member as JSON")(
        "rows",
        boost::program_options::value<std::size_t>()->default_value(
            default_rows),
        "number of rows of the table");
    parser.positional("file", -1);
    if (auto const ended = parser.parse(args, output))
    {
        return *ended;
    }
    if (!parser.has("file"))
    {
        output.m_error << "camphortide: losses needs a file\n";
        return exit_code::usage;
    }
    load::loss_report report;
    bool complete = true;
    for (auto const& path : parser.get<std::vector<std::string>>("file"))
    {
        complete = read_file(path, report, output) && complete;
    }
    if (parser.has("json"))
    {
        print_json(report, output);
    }
    else
    {
        print_table(report, parser.get<std::size_t>("rows"), output);
        print_summary(report, output);
    }
    bool const any_known = report.lines() > report.unknown_lines();
    return complete && any_known ? exit_code::done : exit_code::refused;
}

} // namespace camphortide::command_line
