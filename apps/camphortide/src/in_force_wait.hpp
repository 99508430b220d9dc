#pragma once

#include "admin_client.hpp"
#include "command.hpp"

#include <cstdint>
#include <vector>

#include <camphortide/state/clock.hpp>

namespace camphortide::command_line
{

/// Waits until a version of the catalogue is in force at every instance that
/// some instances list, and tells where it is.
/// @param places the services for operators that are asked
/// @param version the version
/// @param timeout the longest wait
/// @return refused if it is not known to be in force everywhere in time
exit_code wait_until_in_force(std::vector<admin_server> const& servers,
                              std::uint64_t version, state::duration timeout,
                              console const& output);

} // namespace camphortide::command_line
