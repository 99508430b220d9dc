#pragma once

#include <optional>
#include <string>

#include <nlohmann/json.hpp>

#include <camphortide/load/trace/monitor_input.hpp>
#include <camphortide/load/trace/trace_header.hpp>

namespace camphortide::load
{

/// Converts the parts of a trace to JSON and back. The read functions throw
/// nlohmann::json::exception if a value is missing or has a wrong type.
using json = nlohmann::ordered_json;

json to_json(trace_header const& value);
json to_json(trace_outcome const& value);
json to_json(monitor_input const& value);
json to_json(coordination::group_actions const& value);

/// @return the header; nothing if the format or version is another one
std::optional<trace_header> read_header(json const& value);

/// @return the input; nothing if its kind is unknown
std::optional<monitor_input> read_input(json const& value);

trace_outcome read_outcome(json const& value);

} // namespace camphortide::load
