#include "authority_option.hpp"
#include "catalogue_change_text.hpp"
#include "catalogue_commands.hpp"
#include "change_identifier.hpp"
#include "edit_runner.hpp"
#include "in_force_wait.hpp"
#include "stored_catalogue.hpp"

#include <optional>
#include <utility>
#include <variant>

#include <camphortide/transport/settings/catalogue_file.hpp>

namespace camphortide::command_line
{

namespace
{

using purpose = coordination::catalogue_edit::purpose;
namespace options = boost::program_options;

constexpr char const* apply_explanation =
    "Updates the stored catalogue to that of FILE. The change is accepted or\n"
    "refused as a whole. Only differences to the catalogue that FILE was made\n"
    "from are applied: that of --base, else the stored one, which must then\n"
    "have FILE's version. The change is refused if a record was changed\n"
    "concurrently.";

constexpr char const* diff_explanation =
    "Shows what differs between FILE and the catalogue that it was made from:\n"
    "that of --base, else the stored one. + added, - removed, ~ changed.";

constexpr char const* resolve_explanation =
    "Prints the outcome of a change that was left undetermined. A change that\n"
    "was not accepted is barred, so that it can't be accepted later.";

constexpr char const* default_admin = "127.0.0.1:7402";
constexpr std::uint32_t default_wait = 30000; ///< milliseconds

void add_file_options(option_parser& parser)
{
    blocking_platform_client::add_options(parser);
    parser.positional("file", 1);
    parser.add()("base,b", options::value<std::string>(),
                 "the file of `catalogue get` that FILE was made from");
}

/// Reads a catalogue file and prints its errors.
std::optional<state::catalogue> read_file(std::string const& path,
                                          console const& output)
{
    auto result = transport::read_catalogue_file(path);
    for (auto const& error : result.m_errors)
    {
        output.m_error << to_string(error) << '\n';
    }
    return result.ok() ? std::make_optional(std::move(result.m_value))
                       : std::nullopt;
}

/// Computes the change from the files given on the command line.
/// @param must_match whether the stored catalogue must have the version of FILE
/// @return the change, or the exit code of the command on failure
std::variant<coordination::catalogue_change, exit_code>
find_change(option_parser const& parser, blocking_platform_client& platform,
            bool must_match, console const& output)
{
    if (!parser.has("file"))
    {
        output.m_error << "camphortide: a file is needed; see --help\n";
        return exit_code::usage;
    }
    auto const target =
        read_file(parser.get<std::vector<std::string>>("file").front(), output);
    if (!target)
    {
        return exit_code::refused;
    }
    if (parser.has("base"))
    {
        auto const base = read_file(parser.get<std::string>("base"), output);
        if (!base)
        {
            return exit_code::refused;
        }
        return make_change(*base, *target);
    }
    auto const stored = read_catalogue(platform);
    if (!stored.ok())
    {
        return platform.report(stored.status(), output);
    }
    auto const version = stored->m_catalogue.version();
    if (must_match && target->version() != version)
    {
        output.m_error << "camphortide: the file was made from version "
                       << target->version() << ", the store has version "
                       << version << "; get it again, or give --base\n";
        return exit_code::refused;
    }
    return make_change(stored->m_catalogue, *target);
}

bool is_empty(coordination::catalogue_change const& change)
{
    return change.m_entries.empty() && change.m_groups.empty();
}

exit_code report(coordination::catalogue_change const& change,
                 coordination::edit_result const& result, console const& output)
{
    bool const accepted =
        result.m_outcome == coordination::edit_outcome::accepted;
    (accepted ? output.m_out : output.m_error)
        << "change " << change.m_id << ' ' << result_text(result);
    if (result.m_outcome == coordination::edit_outcome::undetermined)
    {
        output.m_error << "ask with `camphortide catalogue resolve "
                       << change.m_id << "`\n";
    }
    return accepted ? exit_code::done : exit_code::refused;
}

} // namespace

exit_code run_catalogue_diff(arguments const& args, console const& output)
{
    option_parser parser("catalogue diff FILE [options]", diff_explanation);
    add_file_options(parser);
    if (auto const ended = parser.parse(args, output))
    {
        return *ended;
    }
    blocking_platform_client platform(parser);
    auto const found = find_change(parser, platform, false, output);
    if (auto const* const ended = std::get_if<exit_code>(&found))
    {
        return *ended;
    }
    output.m_out << change_text(
        std::get<coordination::catalogue_change>(found));
    return exit_code::done;
}

exit_code run_catalogue_apply(arguments const& args, console const& output)
{
    option_parser parser("catalogue apply FILE [options]", apply_explanation);
    add_file_options(parser);
    parser.add()("operator",
                 options::value<std::string>()->default_value(operator_name()),
                 "operator who makes the change")(
        "change",
        options::value<std::string>()->default_value(make_identifier(),
                                                     "random"),
        "identifier of the change")(
        "wait", "wait until the version is in force everywhere")(
        "address,a",
        options::value<arguments>()->default_value({default_admin},
                                                   default_admin),
        "IP:PORT of an instance's service for operators, for --wait; one is "
        "enough, may be repeated to poll several")(
        "wait-time",
        options::value<std::uint32_t>()->default_value(default_wait),
        "maximum time to wait with --wait, ms");
    if (auto const ended = parser.parse(args, output))
    {
        return *ended;
    }
    blocking_platform_client platform(parser);
    auto found = find_change(parser, platform, true, output);
    if (auto const* const ended = std::get_if<exit_code>(&found))
    {
        return *ended;
    }
    auto change = std::get<coordination::catalogue_change>(std::move(found));
    if (is_empty(change))
    {
        output.m_out << "nothing to change\n";
        return exit_code::done;
    }
    change.m_id = parser.get<std::string>("change");
    change.m_operator = parser.get<std::string>("operator");
    output.m_out << change_text(change);
    auto const result = run_edit(platform, change, purpose::apply);
    auto const code = report(change, result, output);
    if (code != exit_code::done || !parser.has("wait"))
    {
        return code;
    }
    std::vector<admin_server> servers;
    for (auto const& address : parser.get<arguments>("address"))
    {
        servers.push_back({address, authority_of(parser)});
    }
    return wait_until_in_force(
        servers, result.m_version,
        state::duration(parser.get<std::uint32_t>("wait-time")), output);
}

exit_code run_catalogue_resolve(arguments const& args, console const& output)
{
    option_parser parser("catalogue resolve CHANGE [options]",
                         resolve_explanation);
    blocking_platform_client::add_options(parser);
    parser.positional("change", 1);
    if (auto const ended = parser.parse(args, output))
    {
        return *ended;
    }
    if (!parser.has("change"))
    {
        output.m_error << "camphortide: the identifier of a change is needed\n";
        return exit_code::usage;
    }
    blocking_platform_client platform(parser);
    coordination::catalogue_change change;
    change.m_id = parser.get<std::vector<std::string>>("change").front();
    return report(change, run_edit(platform, change, purpose::resolve), output);
}

} // namespace camphortide::command_line
