#pragma once

#include "admin_client.hpp"
#include "command.hpp"

#include <cstdint>
#include <vector>

#include <camphortide/state/clock.hpp>

namespace camphortide::command_line
{

/// Waits until a version of the catalogue is in force at every instance that
/// the polled instances report. Prints each instance where it comes into force.
/// @param servers the admin services to poll
/// @param version the version of the catalogue
/// @param timeout maximum time to wait
/// @return exit_code::refused if the version is not confirmed everywhere in
///     time
exit_code wait_until_in_force(std::vector<admin_server> const& servers,
                              std::uint64_t version, state::duration timeout,
                              console const& output);

} // namespace camphortide::command_line
