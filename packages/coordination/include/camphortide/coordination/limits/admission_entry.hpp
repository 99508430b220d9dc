#pragma once

#include <cstdint>
#include <optional>

#include <camphortide/coordination/limits/admission_types.hpp>
#include <camphortide/coordination/limits/entry_limits.hpp>
#include <camphortide/coordination/limits/moving_mean.hpp>
#include <camphortide/coordination/limits/rate_bucket.hpp>
#include <camphortide/coordination/limits/slot_queue.hpp>
#include <camphortide/coordination/limits/waiting_queue.hpp>

namespace camphortide::coordination
{

/// What admission keeps of one entry at one home.
class admission_entry
{
public:
    /// @param flow the entry's flow in every slot_class
    explicit admission_entry(slot_queue::flow_id flow) : m_flow(flow) {}

    /// Changes the limits.
    void set_limits(entry_limits const& limits, state::time_point now);

    /// Works out what a request costs and until when it may wait.
    waiting_request estimate(admission_request const& request,
                             state::time_point now) const;

    /// Takes a request out of the rate and, for a retry, the retry budget.
    /// @return the refusal if there is nothing left to take_tokens it from
    std::optional<admission_decision>
    take_tokens(admission_request const& request, state::time_point now);

    /// Learns from a request that was served.
    void add_service_time(work service, state::time_point now);

    /// @return true if one more request may run
    bool can_start() const;

    /// @return true if no request may ever run
    bool blocked() const { return m_limits.m_concurrency == 0U; }

    /// @return how long a new request waits for the ones ahead of it to stay
    ///     within the concurrency
    work concurrency_wait() const;

    /// @return the time that one request keeps a slot busy
    work mean_work() const { return work(m_work.value_or(0)); }

    entry_limits const& limits() const { return m_limits; }

    slot_queue::flow_id m_flow;
    bool m_removed = false;
    std::uint32_t m_running = 0;
    std::uint32_t m_queued = 0;

private:
    static constexpr double min_sample_weight = 1.0 / 32;

    entry_limits m_limits;
    double m_retry_budget = 0; ///< that the budget still allows
    rate_bucket m_rate;
    moving_mean m_work{min_sample_weight}; ///< in ms
    state::time_point m_last_sample;       ///< when m_work last changed
};

} // namespace camphortide::coordination
