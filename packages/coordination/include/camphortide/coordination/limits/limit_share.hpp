#pragma once

#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

#include <camphortide/coordination/limits/admission_types.hpp>
#include <camphortide/coordination/limits/entry_limits.hpp>
#include <camphortide/coordination/limits/moving_mean.hpp>
#include <camphortide/coordination/limits/share_manager.hpp>
#include <camphortide/state/clock.hpp>

namespace camphortide::coordination
{

/// One home's part of an entry's system-wide limits: what the home requests for
/// the demand that it observes, and what it may use.
class limit_share
{
public:
    /// @param limits the entry's limits for the whole system
    explicit limit_share(entry_limits limits);

    /// Replaces the limits and keeps the observed demand.
    void set_limits(entry_limits limits) { m_limits = std::move(limits); }

    /// @return the limits to divide among the homes; empty if the entry is
    ///     unlimited
    std::vector<share_limit> limits_to_divide() const;

    /// Records the arrival of a request.
    void arrived() { m_arrivals += 1; }

    /// Records how many requests are running and queued. Called at regular
    /// intervals, before the share manager's step() and under the same lock.
    void observe(admission_load const& load, state::time_point now);

    /// @return the rate to request, with a margin above the arrival rate
    share_demand rate_demand() const;

    /// @return the concurrency to request
    share_demand concurrency_demand() const;

    /// Computes the limits of this home.
    /// @param rate the allowance for rate_key()
    /// @param concurrency the allowance for concurrency_key()
    /// @return the entry's limits, with the divided ones replaced by this
    ///     home's part
    entry_limits local_limits(share_allowance const& rate,
                              share_allowance const& concurrency) const;

    share_key rate_key() const;
    share_key concurrency_key() const;

private:
    static constexpr double min_sample_weight = 1.0 / 8;

    entry_limits m_limits;
    std::int64_t m_arrivals = 0;
    std::optional<state::time_point> m_last_observed;
    moving_mean m_rate{min_sample_weight}; ///< requests per second
    std::uint32_t m_running = 0;
    moving_mean m_in_system{min_sample_weight}; ///< requests running or queued
};

} // namespace camphortide::coordination
