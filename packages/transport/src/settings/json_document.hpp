#pragma once

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include <camphortide/transport/settings/setting_error.hpp>

namespace camphortide::transport
{

/// A JSON value that keeps the keys of objects in the order of the file.
using json = nlohmann::ordered_json;

/// Reads a file into memory.
/// @param path path of the file
/// @param errors receives an error if it cannot be read
/// @return its contents; empty on error
std::string read_file(std::string const& path,
                      std::vector<setting_error>& errors);

/// Parses JSON with comments.
/// @param file file name for error messages
/// @param text the contents
/// @param errors receives syntax errors and repeated keys
/// @return the document; an empty object if it is malformed
json parse_json(std::string const& file, std::string const& text,
                std::vector<setting_error>& errors);

/// Sets the value at a key path. Creates missing inner objects.
/// @param key a key path, separated by dots
void put_at(json& document, std::string const& key, json value);

} // namespace camphortide::transport
