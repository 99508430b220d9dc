#pragma once

#include <cstddef>
#include <cstdint>
#include <span>

#include <camphortide/state/member_status.hpp>

namespace camphortide::coordination
{

/// Finds the highest index of a primary's log that is safe: that a majority of
/// the members has received in the primary's own term. A member counts only if
/// both its highest granted term and its last record are of that term; a record
/// counted here is therefore in the log of every later primary.
/// @param statuses the latest known status of each member
/// @param members the size of the group
/// @param primary_term the primary's term
/// @return the index; 0 if no record of the term is safe yet
/// @see D. Ongaro and J. Ousterhout, "In Search of an Understandable Consensus
///     Algorithm", section 5.4.2, for the rule on records of older terms
std::uint64_t safe_index(std::span<state::member_status const> statuses,
                         std::size_t members, state::term primary_term);

} // namespace camphortide::coordination
