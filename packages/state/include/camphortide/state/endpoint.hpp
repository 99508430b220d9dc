#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace camphortide::state
{

/// Reads the port of an endpoint.
/// @param endpoint IP:PORT, with an IPv6 address in brackets
/// @return the port, 0 to 65535; empty if the text is not an endpoint
std::optional<std::uint16_t> port_of(std::string const& endpoint);

} // namespace camphortide::state
