#pragma once

#include "option_parser.hpp"

#include <string>

namespace camphortide::command_line
{

/// Adds `--authority FILE`, which enables TLS to the platform and to instances.
/// A file that cannot be read is a usage error.
void add_authority_option(option_parser& parser);

/// @return the path of the file; empty without TLS
std::string authority_of(option_parser const& parser);

} // namespace camphortide::command_line
