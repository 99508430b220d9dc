#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include <camphortide/state/clock.hpp>
#include <camphortide/state/customer.hpp>

namespace camphortide::coordination
{

/// How long granted tokens are valid, from when they were requested.
inline constexpr state::duration allowance_lease{500};

/// Time constant of the rates of operations. An instance that no keeper answers
/// goes on at its last rate, which decays with this time constant.
inline constexpr state::duration allowance_rate_time{5000};

/// A request for tokens of one customer. One token admits one operation.
struct allowance_request
{
    std::string m_customer;
    std::uint32_t m_wanted = 0;
    std::uint32_t m_returned = 0; ///< valid tokens that were not used
    /// Operations per second that the requester would admit on its own if no
    /// keeper answered it.
    double m_rate = 0;
    /// Operations per second that it admitted while a keeper answered.
    double m_claim = 0;
    /// Operations that it may admit on its own, given up to a backup.
    double m_credit = 0;

    friend auto operator<=>(allowance_request const&,
                            allowance_request const&) = default;
};

/// The answer to a request for tokens.
struct allowance_grant
{
    std::uint32_t m_granted = 0;
    /// If fewer tokens were granted than wanted: when a new request is useful.
    state::duration m_request_again{};
    /// In the same case: when callers should retry.
    state::duration m_retry_after{};
    /// The requester should report its rate at short intervals, because the
    /// customer is near its limit.
    bool m_report = false;

    friend auto operator<=>(allowance_grant const&,
                            allowance_grant const&) = default;
};

/// @param limit of the customer
/// @return the most tokens that a keeper may accumulate, so that the rule holds
///     together with tokens that were granted before a window and used in it,
///     and with what instances that the keeper doesn't hear admit before it
///     reserves for them
double allowance_capacity(state::operation_limit const& limit,
                          state::allowance_rule const& settings);

} // namespace camphortide::coordination
