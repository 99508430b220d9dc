#pragma once

#include <cstdint>
#include <iterator>
#include <list>

#include <camphortide/coordination/limits/admission_types.hpp>
#include <camphortide/coordination/limits/moving_mean.hpp>

namespace camphortide::coordination
{

/// A request that waits for a slot.
struct waiting_request
{
    std::uint64_t m_id = 0;
    state::time_point m_deadline;
    state::time_point m_latest_start; ///< by its deadline and the queue time
    work m_cost{};
};

/// The requests of one entry that wait in one slot_class, oldest first, with
/// the work they amount to and how fast it is being served.
class waiting_queue
{
public:
    using iterator = std::list<waiting_request>::iterator;

    /// Appends a request.
    iterator push(waiting_request const& item, state::time_point now);

    /// Takes out a request that goes to a slot; it is at the front.
    waiting_request serve_front(state::time_point now);

    /// Takes out a request that gets no slot.
    waiting_request erase(iterator item);

    /// Forgets how fast the work was served.
    void reset_time_per_work(state::time_point now);

    /// @return the time until an amount of this queue's work is served, by
    ///     the pace of late; zero if there is none
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
    moving_mean m_time_per_work{
        min_sample_weight}; ///< time passed per work served
    state::time_point m_last_service;
};

} // namespace camphortide::coordination
