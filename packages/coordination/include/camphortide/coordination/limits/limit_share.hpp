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

/// One home's part of an entry's limits, which are for the whole system: what
/// it asks for by the demand that it sees, and what it may use.
class limit_share
{
public:
    /// @param limits the entry's limits for the whole system
    explicit limit_share(entry_limits limits);

    /// Changes the limits and keeps the demand seen.
    void set_limits(entry_limits limits) { m_limits = std::move(limits); }

    /// @return the limits to be limits_to_divide among the homes; none if
    /// unlimited
    std::vector<share_limit> limits_to_divide() const;

    /// Takes in that a request arrived.
    void arrived() { m_arrivals += 1; }

    /// Takes in how many requests run and wait. Called at even intervals, and
    /// before the manager's step() under the same lock.
    void observe(admission_load const& load, state::time_point now);

    /// @return the rate to ask for, with a margin above what arrived
    share_demand rate_demand() const;

    /// @return the concurrency to ask for
    share_demand concurrency_demand() const;

    /// Works out the limits of this home.
    /// @param rate what the manager allows for rate_key()
    /// @param concurrency what the manager allows for concurrency_key()
    /// @return the entry's limits with this home's part of the limits_to_divide
    /// ones
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
    moving_mean m_in_system{min_sample_weight}; ///< requests
};

} // namespace camphortide::coordination
