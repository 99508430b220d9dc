#pragma once

#include <cstdint>
#include <iterator>
#include <list>

#include <camphortide/coordination/limits/admission_types.hpp>
#include <camphortide/coordination/limits/moving_mean.hpp>

namespace camphortide::coordination
{

/// A request that is queued for a slot.
struct waiting_request
{
    std::uint64_t m_id = 0;
    state::time_point m_deadline;
    /// By its deadline and the maximum queue time
    state::time_point m_latest_start;
    work m_cost{};
};

/// The requests of one entry queued in one slot class, oldest first, with their
/// total work and the rate at which it is being served.
class waiting_queue
{
public:
    using iterator = std::list<waiting_request>::iterator;

    /// Appends a request.
    iterator push(waiting_request const& item, state::time_point now);

    /// Removes the request at the front, which gets a slot.
    waiting_request serve_front(state::time_point now);

    /// Removes a request that gets no slot.
    waiting_request erase(iterator item);

    /// Discards the measured service rate.
    void reset_time_per_work(state::time_point now);

    /// @return the time to serve an amount of this queue's work at the recent
    ///     service rate; zero if no rate was measured
    work time_to_serve(work amount) const;

    work total() const { return m_total; }
    bool empty() const { return m_items.empty(); }
    waiting_request const& front() const { return m_items.front(); }
    iterator begin() { return m_items.begin(); }
    iterator last() { return std::prev(m_items.end()); }

private:
    static constexpr double min_sample_weight = 1.0 / 8;

    std::list<waiting_request> m_items;
    work m_total{};
    /// Elapsed time per work served.
    moving_mean m_time_per_work{min_sample_weight};
    state::time_point m_last_service;
};

} // namespace camphortide::coordination
