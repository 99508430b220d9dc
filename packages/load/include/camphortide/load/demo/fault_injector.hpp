#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include <camphortide/coordination/fleet/catalogue_change.hpp>
#include <camphortide/load/checker/run_observations.hpp>
#include <camphortide/load/report/run_summary.hpp>
#include <camphortide/standin/deployment/running_deployment.hpp>
#include <camphortide/standin/group/timer_queue.hpp>

namespace camphortide::load
{

class fault_injector;

/// A fault that can be selected by name.
struct fault
{
    std::string_view m_name;
    std::string_view m_summary; ///< one line
    void (fault_injector::*m_apply)();
    bool m_planned = false; ///< must not interrupt any request
};

/// Applies and reverts faults in a deployment, and records what the checks need
/// to know about them. Used by one thread at a time.
class fault_injector
{
public:
    using run_clock = std::function<run_time()>;

    /// @param running outlives this
    /// @param now the clock of the run
    /// @param seed for the random choices of the faults
    fault_injector(standin::running_deployment& running, run_clock now,
                   std::uint64_t seed);
    ~fault_injector();
    fault_injector(fault_injector const&) = delete;
    fault_injector& operator=(fault_injector const&) = delete;

    /// @return all faults
    static std::span<fault const> faults();

    /// @return the fault of that name; null if there is none
    static fault const* find(std::string_view name);

    /// Applies a fault. Each further call targets the next group, instance or
    /// data centre.
    void apply(fault const& value);

    /// Reverts all applied faults.
    void revert();

    /// Publishes a small change of the catalogue and records it.
    void edit_catalogue();

    /// Reverts all faults and stores what was recorded.
    /// @param to receives it
    void finish(run_observations& to);

    /// @return the primaries that were lost, by time
    std::vector<primary_loss> losses() const;

private:
    void primary_partition();
    void primary_kill();
    void replica_lag();
    void instance_kill();
    void instance_pause();
    void store_down();
    void store_slow();
    void store_lost_reply();
    void data_centre_loss();
    void planned_stop();
    void catalogue_edit_race();
    void rolling_replacement();

    std::string const& next_group() const;
    std::string const& next_instance() const;
    std::string record_primary_loss(std::string const& group);
    void kill_instance(std::string const& name);
    void stop_instance(std::string const& name);
    void replace_instances();
    bool wait_until_drain_requested(std::string const& name) const;
    void join_workers();
    void kill_member(std::string const& group, std::string const& member);
    void start_leaving(std::string const& group, std::string const& member);
    void record_catalogue_disruption();
    std::shared_ptr<state::catalogue const> newest_catalogue() const;
    coordination::catalogue_change make_edit();
    bool publish(coordination::catalogue_change const& change);

    standin::running_deployment& m_running;
    run_clock const m_now;
    std::mt19937_64 m_random;
    std::uint64_t m_applied_count = 0;
    std::uint64_t m_edits = 0;
    /// All faults so far were planned.
    bool m_only_planned_faults = true;
    std::uint64_t m_stops = 0; ///< number so far; guarded by m_mutex
    std::vector<std::function<void()>> m_undo;
    std::vector<std::thread> m_workers; ///< joined before faults are reverted
    std::set<std::string> m_killed;     ///< members that are stopped
    mutable std::mutex m_mutex;         ///< guards m_observed and m_losses
    run_observations m_observed;
    std::vector<primary_loss> m_losses;
    /// Periods in which a change of the catalogue could be delayed.
    std::vector<std::pair<run_time, run_time>> m_disruptions;
    standin::timer_queue m_timers;
};

} // namespace camphortide::load
