#pragma once

#include <compare>
#include <cstdint>

#include <camphortide/state/term.hpp>

namespace camphortide::state
{

/// A record's place in a group's log: the term that wrote it and its index.
/// Orders by term first, so that the greater of two last records is the more
/// advanced log.
struct log_position
{
    term m_term;
    std::uint64_t m_index = 0;

    friend constexpr auto operator<=>(log_position const&,
                                      log_position const&) = default;
};

} // namespace camphortide::state
