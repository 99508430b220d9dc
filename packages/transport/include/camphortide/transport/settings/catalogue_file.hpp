#pragma once

#include <string>

#include <camphortide/state/catalogue.hpp>
#include <camphortide/transport/settings/setting_error.hpp>

namespace camphortide::transport
{

/// Reads and checks a file of catalogue entries and groups.
/// @param path a file of JSON with comments
/// @return the catalogue, of the version that the file was taken from or 0,
///     with every fault found
checked<state::catalogue> read_catalogue_file(std::string const& path);

/// Reads and checks entries and groups held in memory.
/// @param file the name that errors carry
/// @param text JSON with comments
checked<state::catalogue> parse_catalogue(std::string const& file,
                                          std::string const& text);

/// Writes a catalogue as a file that reads back as the same version, entries
/// and groups; stamps of changes are left out.
/// @return JSON, ordered by name
std::string write_catalogue(state::catalogue const& value);

} // namespace camphortide::transport
