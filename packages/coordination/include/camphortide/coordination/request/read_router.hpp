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
    /// longest wait of a read for a replica, from its arrival
    state::duration m_max_wait{20};
    /// how soon a read that finds no member is routed again
    state::duration m_retry_after{10};
};

/// A read that is to be routed.
struct read_input
{
    read_requirement const& m_requirement;
    std::span<member_view const> m_members;
    freshness const& m_samples;
    std::uint32_t m_attempted =
        0; ///< bit i: member i failed this read; clear it after
    ///< a wait, so that members are attempted again
    bool m_primary_next = false; ///< an answer was too old: go to the primary
    std::uint64_t m_random = 0;  ///< any number, new for each read
    state::time_point m_now;
};

/// Chooses the member that a read is sent to. A fenced member counts as a
/// replica: its log is checked like any other. The choice is a guess that the
/// check of the answer corrects; see accept_read.
class read_router
{
public:
    static constexpr std::size_t max_members = 32;

    /// @param strategy not null
    explicit read_router(std::unique_ptr<read_strategy> strategy,
                         read_router_limits limits = {});

    /// Routes a read.
    /// @return where to send it; or until when to wait and route it again;
    ///     or a refusal once the deadline has come: deadline_exceeded, or
    ///     no_primary if none is known
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
