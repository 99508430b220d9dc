#pragma once

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include <camphortide/transport/settings/setting_error.hpp>

namespace camphortide::transport
{

/// Keeps the keys in the order of the file.
using json = nlohmann::ordered_json;

/// Reads a whole file.
/// @param path the file
/// @param errors receives an error if it cannot be read
/// @return its contents; empty on error
std::string read_file(std::string const& path,
                      std::vector<setting_error>& errors);

/// Parses JSON with comments.
/// @param file the name that errors carry
/// @param text the contents
/// @param errors receives malformed text and repeated keys
/// @return the document; an empty object if it is malformed
json parse_json(std::string const& file, std::string const& text,
                std::vector<setting_error>& errors);

/// Puts a value at a key path; inner objects are made where they lack.
/// @param key keys with dots between them
void put_at(json& document, std::string const& key, json value);

} // namespace camphortide::transport
