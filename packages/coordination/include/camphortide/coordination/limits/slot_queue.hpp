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

/// The slots of one slot_class, the requests that wait for them, and how long
/// they will wait.
class slot_queue
{
public:
    using flow_id = fair_schedule::flow_id;

    /// A request that left its queue.
    struct removed_request
    {
        flow_id m_flow = 0;
        waiting_request m_request;
        bool m_in_time = false; ///< may still finish by its deadline
    };

    /// Adds a flow or changes it.
    /// @see fair_schedule::set
    void set_flow(flow_id flow, std::string const& owner,
                  std::uint32_t priority, std::uint32_t weight);

    /// Changes the number of slots; requests that run keep theirs.
    void set_slots(std::uint32_t slots, state::time_point now);

    /// States whether requests of a flow may start.
    void set_eligible(flow_id flow, bool eligible);

    /// @return true if a new request of the flow starts without waiting
    bool starts_at_once(flow_id flow) const;

    /// Estimates how long a request waits.
    /// @param ahead the work of its flow that is served before it
    /// @return the estimate; zero while there are no slots
    work expected_wait(flow_id flow, work ahead) const;

    /// Estimates how long a new request of a flow waits.
    work expected_wait(flow_id flow) const;

    /// Queues a request.
    void push(flow_id flow, waiting_request const& item, state::time_point now);

    /// Takes a request out of its queue.
    /// @return nothing if it isn't queued
    std::optional<removed_request> erase(std::uint64_t id,
                                         state::time_point now);

    /// Gives a slot to a request that starts at once.
    void start(flow_id flow, work cost);

    /// Gives a free slot to the request that is next, or takes it out
    /// without a slot if it can't finish in time.
    /// @return nothing if no slot is free or no request may start
    std::optional<removed_request> start_next(state::time_point now);

    /// Takes a slot back.
    /// @param service what is learnt about the work of a request, if anything
    void finish(std::optional<work> service);

    /// Takes out a request that waited too long to be started.
    std::optional<removed_request> remove_expired(state::time_point now);

    /// Takes out the last of a flow's requests if it can't be started in time.
    /// The oldest one is left to its expiry.
    std::optional<removed_request> remove_infeasible(flow_id flow,
                                                     state::time_point now);

    /// @return when the next queued request expires
    std::optional<state::time_point> next_expiry() const;

    /// @return true if a request that waits that long finishes in time, with
    ///     a margin for what the estimate can't know
    static bool in_time(work wait, waiting_request const& item,
                        state::time_point now);

    std::uint32_t slots() const { return m_slots; }
    std::uint32_t running() const { return m_running; }

    /// @return the flow's oldest request; nothing if none is queued
    std::optional<std::uint64_t> oldest(flow_id flow) const;

private:
    static constexpr double min_sample_weight = 1.0 / 32;
    static constexpr double max_credit_ms = 100; ///< of work, to catch up on

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
    moving_mean m_work{min_sample_weight}; ///< of one request, in ms
    work m_last_cost{};                    ///< of the last request that started
    fair_schedule m_schedule{max_credit_ms};
    std::vector<flow_state> m_flows;
    std::map<std::uint32_t, work, std::greater<>>
        m_queued_work; ///< by priority
    std::set<std::pair<state::time_point, std::uint64_t>> m_expiries;
    std::unordered_map<std::uint64_t, queue_position> m_positions;
};

} // namespace camphortide::coordination
