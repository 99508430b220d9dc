#pragma once

#include <compare>
#include <cstdint>

namespace camphortide::proxy
{

/// What an instance has sent to others as a relay of one kind of objects.
struct update_statistics
{
    std::uint64_t m_responses = 0;
    /// Of these, responses with all objects instead of changes.
    std::uint64_t m_snapshots = 0;
    std::uint64_t m_bytes = 0; ///< of the responses' bodies

    friend auto operator<=>(update_statistics const&,
                            update_statistics const&) = default;
};

} // namespace camphortide::proxy
