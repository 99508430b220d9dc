#pragma once

#include "object_store.hpp"
#include "simulated_node.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

/// Simulates many nodes in one process on a manual clock, in five data centres
/// of two regions. The store is in the first region; the other one is called
/// remote.
class simulated_fleet
{
public:
    using time_point = camphortide::state::time_point;
    using duration = camphortide::state::duration;

    static constexpr std::size_t data_centres = 5;
    static constexpr std::size_t first_remote_data_centre = 3;

    /// @param nodes number of nodes, started one after another
    /// @param databases number of groups, each with three entries
    /// @param seed seed of all random choices
    simulated_fleet(std::size_t nodes, std::size_t databases,
                    std::uint64_t seed);

    void run(duration time);

    /// Advances the clock until a condition holds.
    /// @param step interval between evaluations of the condition
    /// @return the simulated time until it held, or about the limit if it did
    ///     not
    duration run_until(std::function<bool()> const& condition, duration limit,
                       duration step);

    void start(std::size_t index);
    void kill(std::size_t index);
    void change_catalogue();

    simulated_node& at(std::size_t index) { return *m_nodes.at(index); }
    std::map<std::size_t, std::unique_ptr<simulated_node>> const& nodes() const
    {
        return m_nodes;
    }
    object_store const& store() const { return m_store; }
    std::uint64_t version() const { return m_version; }
    std::size_t watch_count() const { return m_watchers.size(); }
    time_point now() const { return m_now; }

    /// @param included selects the nodes to check; empty: all nodes
    /// @return true if these nodes have the store's catalogue version
    bool
    all_up_to_date(std::function<bool(std::size_t)> const& included = {}) const;

    void reset_counts();

    static std::string name(std::size_t index);
    static std::size_t data_centre_of(std::size_t index)
    {
        return index % data_centres;
    }
    static bool is_in_remote_region(std::size_t index)
    {
        return data_centre_of(index) >= first_remote_data_centre;
    }

    /// Drop messages between the regions and fail store calls from the remote
    /// region.
    bool m_regions_partitioned = false;
    bool m_store_up = true;
    bool m_watch_events_lost = false; ///< watches deliver no events
    duration m_store_delay{5};        ///< delay of each call and each event

private:
    struct event
    {
        time_point m_at;
        std::uint64_t m_number = 0; ///< orders events of the same time
        std::function<void()> m_run;

        bool operator<(event const& other) const
        {
            return m_at != other.m_at ? m_at > other.m_at
                                      : m_number > other.m_number;
        }
    };

    void schedule(duration delay, std::function<void()> run);
    void step_to(time_point end);
    void send(std::size_t from, std::string const& to, std::string bytes);
    void call_store(std::size_t from, store_call const& call);
    void complete_call(std::size_t to, store_call const& call);
    void schedule_tick(std::size_t index, std::uint64_t start);
    bool can_reach_store(std::size_t index) const;

    std::uint64_t m_seed;
    std::size_t m_database_count;
    time_point m_now{duration(1'000'000)};
    std::uint64_t m_number = 0;
    std::uint64_t m_starts = 0;
    std::uint64_t m_version = 0;
    /// Current rates of the changed entries, by group.
    std::map<std::string, std::uint32_t> m_rates;
    std::priority_queue<event> m_events;
    std::map<std::size_t, std::unique_ptr<simulated_node>> m_nodes;
    /// Number of the latest start of each node; ticks of earlier starts are
    /// ignored.
    std::map<std::size_t, std::uint64_t> m_start_numbers;
    std::set<std::size_t> m_watchers;
    object_store m_store;
};
