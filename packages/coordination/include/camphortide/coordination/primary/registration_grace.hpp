#pragma once

#include <camphortide/state/clock.hpp>

namespace camphortide::coordination
{

/// How long a member's entry that lapsed while the store was unavailable may be
/// missing after the store's recovery: the platform names two seconds.
inline constexpr state::duration registration_grace{2500};

} // namespace camphortide::coordination
