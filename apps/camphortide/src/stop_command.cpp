#include "change_identifier.hpp"
#include "command_table.hpp"
#include "commands.hpp"
#include "stored_catalogue.hpp"
#include "text_table.hpp"

#include <algorithm>
#include <array>
#include <optional>
#include <utility>

#include <camphortide/coordination/fleet/stop_planner.hpp>
#include <camphortide/protocol/stop_conversion.hpp>

namespace camphortide::command_line
{

namespace
{

namespace options = boost::program_options;
using transport::failure_of;
using transport::platform_failure;

constexpr char const* plan_explanation =
    "Plans a stop. Requests in flight are not interrupted; the stop is done\n"
    "when `stop list` says so. KIND is instance, member, primary (moves the\n"
    "primary role elsewhere) or endpoint (every member on a host).";

constexpr int max_attempts = 5;

constexpr std::array<state::stop_kind, 4> kinds{
    state::stop_kind::instance, state::stop_kind::member,
    state::stop_kind::primary, state::stop_kind::endpoint};

std::string object_name(std::string const& id)
{
    return std::string(coordination::stop_prefix) + id;
}

absl::StatusOr<std::vector<state::planned_stop>>
read_stops(blocking_platform_client& platform)
{
    auto const objects = platform.list(std::string(coordination::stop_prefix));
    if (!objects.ok())
    {
        return objects.status();
    }
    std::vector<state::planned_stop> stops;
    for (auto const& object : objects->m_objects)
    {
        auto stop =
            protocol::decode_stop_object(object.m_value, object.m_version);
        if (!stop)
        {
            return absl::DataLossError(object.m_name + " is damaged");
        }
        stops.push_back(std::move(*stop));
    }
    return stops;
}

absl::StatusOr<std::vector<state::instance_record>>
read_instances(blocking_platform_client& platform)
{
    auto const listed = platform.list_instances();
    if (!listed.ok())
    {
        return listed.status();
    }
    std::vector<state::instance_record> records;
    for (auto const& each : *listed)
    {
        state::instance_record record;
        record.m_name = each.m_name;
        record.m_data_centre = each.m_data_centre;
        record.m_address = each.m_address;
        records.push_back(std::move(record));
    }
    return records;
}

/// Writes a new stop. If the reply is lost, the write is repeated; see below.
absl::Status create(blocking_platform_client& platform,
                    state::planned_stop const& stop)
{
    auto const name = object_name(stop.m_id);
    auto const value = protocol::encode_stop_object(stop);
    absl::Status status;
    for (int attempt = 0; attempt < max_attempts; ++attempt)
    {
        status = platform.put(name, 0, value).status();
        // A conflict on a repeated write means that an earlier attempt
        // succeeded, since the random identifier excludes another writer.
        bool const written =
            status.ok() ||
            (attempt > 0 && failure_of(status) == platform_failure::conflict);
        if (written)
        {
            return absl::OkStatus();
        }
        if (failure_of(status) != platform_failure::unknown_effect)
        {
            return status;
        }
    }
    return status;
}

/// Validates a stop against the planned stops, the catalogue and the instances
/// that the platform reports.
/// @return the exit code of the command if the stop may not be planned
std::optional<exit_code> check_plan(blocking_platform_client& platform,
                                    state::planned_stop const& stop,
                                    console const& output)
{
    auto const stops = read_stops(platform);
    if (!stops.ok())
    {
        return platform.report(stops.status(), output);
    }
    auto const stored = read_catalogue(platform);
    if (!stored.ok())
    {
        return platform.report(stored.status(), output);
    }
    auto const instances = read_instances(platform);
    if (!instances.ok())
    {
        return platform.report(instances.status(), output);
    }
    auto const problem =
        coordination::check_stop(stop, *stops, stored->m_catalogue, *instances);
    if (problem)
    {
        output.m_error << "camphortide: refused: " << to_string(*problem)
                       << '\n';
        return exit_code::refused;
    }
    return std::nullopt;
}

exit_code run_plan(arguments const& args, console const& output)
{
    option_parser parser("stop plan KIND TARGET [options]", plan_explanation);
    blocking_platform_client::add_options(parser);
    parser.positional("what", 2);
    parser.add()("group,g", options::value<std::string>()->default_value(""),
                 "group of a member or a primary")(
        "operator",
        options::value<std::string>()->default_value(operator_name()),
        "operator who plans the stop");
    if (auto const ended = parser.parse(args, output))
    {
        return *ended;
    }
    auto const values = parser.has("what")
                            ? parser.get<std::vector<std::string>>("what")
                            : std::vector<std::string>();
    auto const kind = std::find_if(kinds.begin(), kinds.end(),
                                   [&values](state::stop_kind each) {
                                       return values.size() == 2 &&
                                              to_string(each) == values.front();
                                   });
    if (kind == kinds.end())
    {
        output.m_error << "camphortide: a kind and a target are needed; see "
                          "--help\n";
        return exit_code::usage;
    }
    state::planned_stop stop;
    stop.m_id = make_identifier();
    stop.m_kind = *kind;
    stop.m_target = values.back();
    stop.m_group = parser.get<std::string>("group");
    stop.m_operator = parser.get<std::string>("operator");
    blocking_platform_client platform(parser);
    if (auto const refused = check_plan(platform, stop, output))
    {
        return *refused;
    }
    auto const status = create(platform, stop);
    if (!status.ok())
    {
        return platform.report(status, output);
    }
    output.m_out << "planned " << stop.m_id << '\n';
    return exit_code::done;
}

exit_code run_list(arguments const& args, console const& output)
{
    option_parser parser("stop list [options]", "Shows the planned stops.");
    blocking_platform_client::add_options(parser);
    if (auto const ended = parser.parse(args, output))
    {
        return *ended;
    }
    blocking_platform_client platform(parser);
    auto const stops = read_stops(platform);
    if (!stops.ok())
    {
        return platform.report(stops.status(), output);
    }
    text_table table({"stop", "kind", "target", "group", "state", "operator"});
    for (auto const& each : *stops)
    {
        table.add({each.m_id, std::string(to_string(each.m_kind)),
                   each.m_target, each.m_group.empty() ? "-" : each.m_group,
                   std::string(to_string(each.m_state)), each.m_operator});
    }
    output.m_out << table.text();
    return exit_code::done;
}

/// Marks a stop as cancelled. Reads it again and retries if its version has
/// changed or the reply was lost.
absl::Status cancel(blocking_platform_client& platform, std::string const& id)
{
    absl::Status status;
    for (int attempt = 0; attempt < max_attempts; ++attempt)
    {
        auto const object = platform.get(object_name(id));
        if (!object.ok())
        {
            return object.status();
        }
        auto stop =
            protocol::decode_stop_object(object->m_value, object->m_version);
        if (!stop)
        {
            return absl::DataLossError("the stop is damaged");
        }
        if (stop->m_state == state::stop_state::cancelled)
        {
            return absl::OkStatus();
        }
        stop->m_state = state::stop_state::cancelled;
        status = platform
                     .put(object_name(id), object->m_version,
                          protocol::encode_stop_object(*stop))
                     .status();
        auto const failure = failure_of(status);
        if (failure != platform_failure::conflict &&
            failure != platform_failure::unknown_effect)
        {
            return status;
        }
    }
    return status;
}

exit_code run_cancel(arguments const& args, console const& output)
{
    option_parser parser("stop cancel STOP [options]",
                         "Cancels a planned stop; its target may be used "
                         "again.");
    blocking_platform_client::add_options(parser);
    parser.positional("stop", 1);
    if (auto const ended = parser.parse(args, output))
    {
        return *ended;
    }
    if (!parser.has("stop"))
    {
        output.m_error << "camphortide: the identifier of a stop is needed\n";
        return exit_code::usage;
    }
    blocking_platform_client platform(parser);
    auto const id = parser.get<std::vector<std::string>>("stop").front();
    auto const status = cancel(platform, id);
    if (!status.ok())
    {
        return platform.report(status, output);
    }
    output.m_out << "cancelled " << id << '\n';
    return exit_code::done;
}

constexpr std::array stop_commands{
    command{"plan", "plan the stop of an instance, member, primary or endpoint",
            run_plan},
    command{"list", "show the planned stops", run_list},
    command{"cancel", "cancel a planned stop", run_cancel},
};

} // namespace

exit_code run_stop(arguments const& args, console const& output)
{
    return run_subcommand("camphortide stop", stop_commands, args, output);
}

} // namespace camphortide::command_line
