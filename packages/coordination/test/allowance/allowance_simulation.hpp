#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <camphortide/coordination/fleet/rendezvous.hpp>
#include <camphortide/coordination/limits/allowance_account.hpp>
#include <camphortide/coordination/limits/allowance_keeper.hpp>

namespace tests
{

namespace coordination = camphortide::coordination;
namespace state = camphortide::state;

/// A guard that the simulation leaves out, to show that the checks notice it.
enum class omitted_guard
{
    none,
    reservation, ///< requesters report no rates, so nothing is reserved
    restriction  ///< new keepers start with all tokens
};

/// What a run of the simulation does, and what it draws at random.
struct allowance_scenario
{
    std::size_t m_instances = 8;
    state::operation_limit m_limit{100, 100};
    double m_demand = 62; ///< operations per second, over all instances
    std::uint64_t m_seed = 1;
    state::duration m_length{20000};
    state::duration m_max_delay{4}; ///< of a message
    omitted_guard m_omitted = omitted_guard::none;
};

/// Instances that admit operations of one customer, with messages that are
/// delayed or lost. Time passes in steps of 5 ms.
class allowance_simulation
{
public:
    explicit allowance_simulation(allowance_scenario scenario);

    /// Runs until a time.
    void run_until(state::duration time);

    /// Changes the demand of some instances.
    /// @param first, last range of instances
    /// @param per_second operations per second of all these together
    void set_demand(std::size_t first, std::size_t last, double per_second);

    void set_limit(state::operation_limit limit) { m_limit = limit; }

    /// Divides the instances: those of different parts don't reach each other.
    /// @param part_of returns the part of an instance
    void divide(std::function<int(std::size_t)> part_of)
    {
        m_part_of = std::move(part_of);
    }

    /// Kills an instance's process. The others learn of it within 5 s.
    void kill(std::size_t instance);
    void restart(std::size_t instance);

    /// @return number of the customer's keeper while all instances run
    std::size_t keeper() const { return m_order.front(); }

    /// @return the most operations admitted in any window of a length
    std::size_t busiest_window(state::duration window) const;

    /// @return operations admitted in a period
    std::size_t admitted(state::duration from, state::duration until) const;
    std::size_t messages() const { return m_messages; }

private:
    struct instance
    {
        std::unique_ptr<coordination::allowance_account> m_account;
        std::unique_ptr<coordination::allowance_keeper> m_keeper;
        bool m_running = true;
        std::uint64_t m_process = 0;
        double m_demand = 0;
        std::size_t m_waiting = 0;
        /// Running instances by its records.
        std::vector<bool> m_view;
        /// Number of the change that its records show, by instance.
        std::vector<std::uint64_t> m_change_seen;
    };

    state::time_point now() const { return state::time_point(m_now); }
    std::string name(std::size_t index) const;
    void start(std::size_t index);
    bool reaches(std::size_t from, std::size_t to) const;
    void later(state::duration delay, std::function<void()> action);
    state::duration delay();
    double uniform();
    void step();
    void arrivals(std::size_t index);
    void operation(std::size_t index);
    void send_due_request(std::size_t index);
    void send_request(std::size_t index,
                      coordination::allowance_request const& request,
                      std::size_t position);
    void announce_if_due(std::size_t index);
    void answer(std::size_t index, std::uint64_t process,
                coordination::allowance_grant const& grant,
                state::time_point sent, bool by_keeper);
    void release_waiting(std::size_t index);
    std::vector<std::size_t> order_of(std::size_t index) const;
    void spread_view(std::size_t changed, bool running);

    allowance_scenario m_scenario;
    state::operation_limit m_limit;
    state::allowance_rule m_settings;
    coordination::seeded_sequence m_random;
    state::duration m_now{100000};
    state::duration m_origin{100000};
    std::vector<instance> m_instances;
    std::vector<std::size_t> m_order; ///< of the customer's keepers
    std::function<int(std::size_t)> m_part_of = [](std::size_t)
    {
        return 0;
    };
    std::multimap<state::duration, std::function<void()>> m_events;
    std::vector<state::duration> m_admitted;
    std::size_t m_messages = 0;
    std::uint64_t m_last_change = 0;
};

} // namespace tests
