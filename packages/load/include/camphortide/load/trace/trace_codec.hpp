#pragma once

#include <optional>
#include <string>

#include <nlohmann/json.hpp>

#include <camphortide/load/trace/monitor_input.hpp>
#include <camphortide/load/trace/trace_header.hpp>

namespace camphortide::load
{

/// Turns the parts of a trace into JSON and back. The readers throw
/// nlohmann::json::exception for what is missing or of a wrong type.
using json = nlohmann::ordered_json;

json to_json(trace_header const& value);
json to_json(trace_outcome const& value);
json to_json(monitor_input const& value);
json to_json(coordination::group_actions const& value);

/// @return nothing for another format or version
std::optional<trace_header> read_header(json const& value);

/// @return nothing for an input of an unknown kind
std::optional<monitor_input> read_input(json const& value);

trace_outcome read_outcome(json const& value);

} // namespace camphortide::load
