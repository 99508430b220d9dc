#pragma once

#include <cstdint>
#include <optional>

#include <camphortide/state/clock.hpp>

namespace camphortide::coordination
{

/// Spreads large responses over time, so that they use only a part of the
/// instance's link.
class transfer_budget
{
public:
    /// @param bytes_per_second bandwidth for large responses, above 0
    explicit transfer_budget(std::uint64_t bytes_per_second);

    /// Reserves the link for a response.
    /// @param bytes size of the response
    /// @param latest time after which the response would be too late to send
    /// @return when to send it; nothing if that would be too late, and then
    ///     nothing is reserved
    std::optional<state::time_point> reserve(state::time_point now,
                                             std::uint64_t bytes,
                                             state::time_point latest);

private:
    std::uint64_t m_bytes_per_second;
    /// When the responses reserved so far have been transferred.
    state::time_point m_free_at;
};

} // namespace camphortide::coordination
