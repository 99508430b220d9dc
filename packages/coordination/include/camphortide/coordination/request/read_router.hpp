#pragma once

#include <cstdint>
#include <memory>
#include <span>

#include <camphortide/coordination/request/member_view.hpp>
#include <camphortide/coordination/request/read_requirement.hpp>
#include <camphortide/coordination/request/read_strategy.hpp>

namespace camphortide::coordination
{

/// Limits of read routing.
struct read_router_limits
{
    /// Maximum wait of a read for a replica, counted from its arrival.
    state::duration m_max_wait{20};
    /// Delay before a read that finds no member is routed again.
    state::duration m_retry_after{10};
};

/// The input of a routing decision.
struct read_input
{
    read_requirement const& m_requirement;
    std::span<member_view const> m_members;
    freshness const& m_samples;
    /// Bit i: member i failed this read. Cleared after a wait, so that all
    /// members may be attempted again.
    std::uint32_t m_attempted = 0;
    bool m_primary_next = false; ///< an answer was too old: use the primary
    std::uint64_t m_random = 0;  ///< random number, new for each read
    state::time_point m_now;
};

/// Selects the member that a read is sent to. A fenced member counts as a
/// replica: its log is checked like any other. The decision relies on data that
/// may be outdated; accept_read checks the answer.
class read_router
{
public:
    static constexpr std::size_t max_members = 32;

    /// @param strategy not null
    explicit read_router(std::unique_ptr<read_strategy> strategy,
                         read_router_limits limits = {});

    /// Routes a read.
    /// @return where to send it; or until when to wait before routing it again;
    ///     or a refusal after the deadline: deadline_exceeded, or no_primary if
    ///     no reachable primary is known
    read_choice route(read_input const& input) const;

    read_strategy const& strategy() const { return *m_strategy; }

private:
    std::optional<read_choice> primary_choice(read_input const& input) const;
    read_options options_for(read_input const& input) const;
    read_choice wait_or_refuse(read_input const& input) const;

    std::unique_ptr<read_strategy> m_strategy;
    read_router_limits m_limits;
};

} // namespace camphortide::coordination
