#pragma once

#include <string>

namespace camphortide::command_line
{

/// @return a new random identifier of 128 bits, in hexadecimal digits
std::string make_identifier();

/// @return the name of the user who runs the command; "operator" if unknown
std::string operator_name();

} // namespace camphortide::command_line
