#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

#include <camphortide/state/clock.hpp>

namespace camphortide::state
{

/// Limit of a customer's operations over all instances together.
struct operation_limit
{
    double m_rate_per_second = 0;
    double m_burst = 0; ///< operations above the rate, at once

    friend auto operator<=>(operation_limit const&,
                            operation_limit const&) = default;
};

/// The rule that limits a customer's operations: in any window, all instances
/// together run at most (rate x window + burst) x (1 + overshoot) + slack.
struct allowance_rule
{
    duration m_window{5000};
    double m_overshoot = 0.1;
    double m_slack = 20; ///< operations

    friend auto operator<=>(allowance_rule const&,
                            allowance_rule const&) = default;
};

/// A customer, as the configuration names it.
struct customer
{
    std::string m_name;
    std::uint32_t m_priority = 0;           ///< 0 is the highest
    std::optional<operation_limit> m_limit; ///< nothing: not limited

    friend auto operator<=>(customer const&, customer const&) = default;
};

} // namespace camphortide::state
