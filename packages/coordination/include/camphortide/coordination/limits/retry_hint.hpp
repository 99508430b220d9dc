#pragma once

#include <cstdint>

#include <camphortide/coordination/limits/admission_types.hpp>

namespace camphortide::coordination
{

/// The wait that clients are given while nothing can be served.
inline constexpr work no_capacity_wait{1000};

/// Computes after what time a refused client should retry.
/// @param wait how long the request would have been queued
/// @param id of the request; lengthens the wait by up to one half, so that the
///     retries of refused clients spread out
/// @return the time; at most 6 s, since the wait is only an estimate
state::duration retry_hint(work wait, std::uint64_t id);

} // namespace camphortide::coordination
