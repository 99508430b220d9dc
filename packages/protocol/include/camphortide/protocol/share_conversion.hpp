#pragma once

#include <optional>
#include <string>
#include <string_view>

#include <camphortide/coordination/limits/share_ledger.hpp>

namespace camphortide::protocol
{

/// @param ledger division of a group's limits
/// @return the bytes to store, as camphortide.limits.v1.Ledger
std::string encode(coordination::share_ledger const& ledger);

/// @param bytes the stored bytes
/// @return the ledger; nothing if the bytes are damaged, or hold a negative
///     amount, an unknown kind or limits that are not in strictly ascending
///     order
std::optional<coordination::share_ledger>
decode_share_ledger(std::string_view bytes);

} // namespace camphortide::protocol
