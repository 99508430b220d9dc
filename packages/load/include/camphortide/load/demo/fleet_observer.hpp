#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <camphortide/load/checker/run_observations.hpp>
#include <camphortide/standin/deployment/running_deployment.hpp>

namespace camphortide::load
{

/// Polls, on its own thread, which instances run and which catalogue version
/// each of them uses.
class fleet_observer
{
public:
    using run_clock = std::function<run_time()>;

    /// @param running outlives this
    /// @param now the clock of the run; called on the observer's thread
    fleet_observer(standin::running_deployment& running, run_clock now);
    ~fleet_observer();
    fleet_observer(fleet_observer const&) = delete;
    fleet_observer& operator=(fleet_observer const&) = delete;

    /// Stops the thread and stores what was observed.
    /// @param to receives it
    void finish(run_observations& to);

private:
    struct watched_instance
    {
        transport::instance const* m_instance = nullptr;
        std::size_t m_lifetime_index = 0; ///< index into m_lifetimes
        std::uint64_t m_version = 0;
    };

    void run();
    void poll();
    void poll_instance(std::string const& name);

    standin::running_deployment& m_running;
    run_clock const m_now;
    std::atomic<bool> m_stopped{false};
    std::map<std::string, watched_instance> m_watched;
    std::vector<instance_lifetime> m_lifetimes;
    std::vector<catalogue_adoption> m_adoptions;
    std::thread m_thread;
};

} // namespace camphortide::load
