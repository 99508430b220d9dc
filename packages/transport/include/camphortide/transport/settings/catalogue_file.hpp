#pragma once

#include <string>

#include <camphortide/state/catalogue.hpp>
#include <camphortide/transport/settings/setting_error.hpp>

namespace camphortide::transport
{

/// Reads and validates a catalogue file: entries and groups.
/// @param path path of the file, JSON with comments
/// @return the catalogue with every error found; its version is the one that
///     the file was exported from, or 0 if the file states none
checked<state::catalogue> read_catalogue_file(std::string const& path);

/// Parses and validates the text of a catalogue file.
/// @param file file name for error messages
/// @param text JSON with comments
checked<state::catalogue> parse_catalogue(std::string const& file,
                                          std::string const& text);

/// Serializes a catalogue as a catalogue file. Reading the file back gives the
/// same version, entries and groups; change stamps are not written.
/// @return JSON; records are ordered by name
std::string write_catalogue(state::catalogue const& value);

} // namespace camphortide::transport
