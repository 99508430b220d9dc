#pragma once

#include <compare>
#include <cstdint>

#include <camphortide/state/term.hpp>

namespace camphortide::state
{

/// The position of a record in a group's log: the term that wrote the record,
/// and its index. Ordered by term first, so that of two logs the one with the
/// greater last position is the more advanced.
struct log_position
{
    term m_term;
    std::uint64_t m_index = 0;

    friend constexpr auto operator<=>(log_position const&,
                                      log_position const&) = default;
};

} // namespace camphortide::state
