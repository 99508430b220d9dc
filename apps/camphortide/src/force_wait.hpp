#pragma once

#include "command.hpp"

#include <cstdint>
#include <string>

#include <camphortide/state/clock.hpp>

namespace camphortide::command_line
{

/// Waits until a version of the catalogue is in force at every instance that
/// an instance knows, and tells where it is.
/// @param address IP:PORT of that instance's service for operators
/// @param version the version
/// @param timeout the longest wait
/// @return refused if it is not in force everywhere in time
exit_code wait_until_in_force(std::string const& address, std::uint64_t version,
                              state::duration timeout, console const& to);

} // namespace camphortide::command_line
