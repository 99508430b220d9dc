#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include <camphortide/coordination/limits/admission_types.hpp>
#include <camphortide/coordination/limits/fair_schedule.hpp>
#include <camphortide/coordination/limits/moving_mean.hpp>
#include <camphortide/coordination/limits/waiting_queue.hpp>

namespace camphortide::coordination
{

/// The slots of one slot class, the requests queued for them, and estimates of
/// how long those will wait.
class slot_queue
{
public:
    using flow_id = fair_schedule::flow_id;

    /// A request that was removed from its queue.
    struct removed_request
    {
        flow_id m_flow = 0;
        waiting_request m_request;
        bool m_in_time = false; ///< can still finish by its deadline
    };

    /// Adds or changes a flow.
    /// @see fair_schedule::set_flow
    void set_flow(flow_id flow, std::string const& customer,
                  std::uint32_t priority, std::uint32_t weight);

    /// Changes the number of slots; running requests keep theirs.
    void set_slots(std::uint32_t slots, state::time_point now);

    /// Sets whether requests of a flow may start.
    void set_eligible(flow_id flow, bool eligible);

    /// @return true if a new request of the flow starts without queueing
    bool starts_at_once(flow_id flow) const;

    /// Estimates how long a request will be queued.
    /// @param ahead the work of its flow that is served before it
    /// @return the estimate; zero while there are no slots
    work expected_wait(flow_id flow, work ahead) const;

    /// Estimates how long a new request of a flow will be queued.
    work expected_wait(flow_id flow) const;

    /// Queues a request.
    void push(flow_id flow, waiting_request const& item, state::time_point now);

    /// Removes a request from its queue.
    /// @return nothing if it is not queued
    std::optional<removed_request> erase(std::uint64_t id,
                                         state::time_point now);

    /// Assigns a slot to a request that does not need to be queued.
    void start(flow_id flow, work cost);

    /// Assigns a free slot to the next request, or removes that request without
    /// a slot if it can no longer start in time.
    /// @return nothing if no slot is free or no request may start
    std::optional<removed_request> start_next(state::time_point now);

    /// Releases a slot.
    /// @param service service time of the request to add to the estimate, if
    ///     any
    void finish(std::optional<work> service);

    /// Removes a request whose latest start has passed.
    /// @return nothing if there is none
    std::optional<removed_request> remove_expired(state::time_point now);

    /// Removes the newest request of a flow if it is not expected to start in
    /// time. The oldest one stays until it expires.
    /// @return nothing if no request was removed
    std::optional<removed_request> remove_infeasible(flow_id flow,
                                                     state::time_point now);

    /// @return when the next queued request expires
    std::optional<state::time_point> next_expiry() const;

    /// @return true if a request that is queued for that long finishes in time,
    ///     with a margin for the error of the estimate
    static bool in_time(work wait, waiting_request const& item,
                        state::time_point now);

    std::uint32_t slots() const { return m_slots; }
    std::uint32_t running() const { return m_running; }

    /// @return the id of the oldest request of the flow; nothing if none is
    ///     queued
    std::optional<std::uint64_t> oldest(flow_id flow) const;

private:
    static constexpr double min_sample_weight = 1.0 / 32;
    static constexpr double max_credit_ms = 100; ///< of work

    struct flow_state
    {
        std::uint32_t m_priority = 0;
        bool m_eligible = true;
        waiting_queue m_queue;
    };

    struct queue_position
    {
        flow_id m_flow = 0;
        waiting_queue::iterator m_item;
    };

    removed_request remove(queue_position const& which, state::time_point now);
    void remove_from_indexes(flow_id flow, waiting_request const& item);
    void update_schedule(flow_id flow);

    std::uint32_t m_slots = 0;
    std::uint32_t m_running = 0;
    moving_mean m_work{min_sample_weight}; ///< per request, in ms
    work m_last_cost{};                    ///< of the request that started last
    fair_schedule m_schedule{max_credit_ms};
    std::vector<flow_state> m_flows;
    /// By priority.
    std::map<std::uint32_t, work, std::greater<>> m_queued_work;
    std::set<std::pair<state::time_point, std::uint64_t>> m_expiries;
    std::unordered_map<std::uint64_t, queue_position> m_positions;
};

} // namespace camphortide::coordination
