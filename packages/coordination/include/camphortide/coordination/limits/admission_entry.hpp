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

/// State that admission keeps for one entry at one home.
class admission_entry
{
public:
    /// @param flow the entry's flow in the queue of every slot class
    explicit admission_entry(slot_queue::flow_id flow) : m_flow(flow) {}

    /// Replaces the limits.
    void set_limits(entry_limits const& limits, state::time_point now);

    /// Computes the cost of a request and the latest time at which it may
    /// start.
    waiting_request estimate(admission_request const& request,
                             state::time_point now) const;

    /// Consumes a token of the rate limit and updates the retry budget: a retry
    /// uses it up, a first attempt adds to it.
    /// @return the refusal if the rate limit or the retry budget is exhausted
    std::optional<admission_decision>
    take_tokens(admission_request const& request, state::time_point now);

    /// Adds the service time of a completed request to the estimate.
    void add_service_time(work service, state::time_point now);

    /// @return true if the concurrency limit allows one more request to run
    bool can_start() const;

    /// @return true if the concurrency limit is 0, so that no request may run
    bool blocked() const { return m_limits.m_concurrency == 0U; }

    /// @return how long a new request is queued before the concurrency limit
    ///     lets it run
    work concurrency_wait() const;

    /// @return the mean time that a request of the entry holds a slot
    work mean_work() const { return work(m_work.value_or(0)); }

    entry_limits const& limits() const { return m_limits; }

    slot_queue::flow_id m_flow;
    bool m_removed = false;
    std::uint32_t m_running = 0;
    std::uint32_t m_queued = 0;

private:
    static constexpr double min_sample_weight = 1.0 / 32;

    entry_limits m_limits;
    double m_retry_budget = 0; ///< retries that may still be admitted
    rate_bucket m_rate;
    moving_mean m_work{min_sample_weight}; ///< in ms
    state::time_point m_last_sample;       ///< when m_work was last updated
};

} // namespace camphortide::coordination
