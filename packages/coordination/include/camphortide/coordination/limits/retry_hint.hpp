#pragma once

#include <cstdint>

#include <camphortide/coordination/limits/admission_types.hpp>

namespace camphortide::coordination
{

/// What a client is told to wait while nothing is served.
inline constexpr work no_capacity_wait{1000};

/// Works out when a refused client should come back.
/// @param wait how long it would have waited
/// @param id the request's; lengthens the wait by up to a half, so that the
///     refused spread out
/// @return the time; at most 6 s, since the wait is an estimate
state::duration retry_hint(work wait, std::uint64_t id);

} // namespace camphortide::coordination
