#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <camphortide/load/checker/run_facts.hpp>
#include <camphortide/standin/deployment/running_deployment.hpp>

namespace camphortide::load
{

/// Watches which instances live and which catalogue version each of them
/// uses, on a thread of its own.
class fleet_watch
{
public:
    using run_clock = std::function<run_time()>;

    /// @param running outlives this
    /// @param now the run's clock; called on the watch's thread
    fleet_watch(standin::running_deployment& running, run_clock now);
    ~fleet_watch();
    fleet_watch(fleet_watch const&) = delete;
    fleet_watch& operator=(fleet_watch const&) = delete;

    /// Ends the watch and hands over what was seen.
    void finish(run_facts& to);

private:
    struct watched
    {
        transport::instance const* m_instance = nullptr;
        std::size_t m_life = 0; ///< place in m_lives
        std::uint64_t m_version = 0;
    };

    void run();
    void look();
    void look_at(std::string const& name);

    standin::running_deployment& m_running;
    run_clock const m_now;
    std::atomic<bool> m_stopped{false};
    std::map<std::string, watched> m_watched;
    std::vector<instance_life> m_lives;
    std::vector<catalogue_sighting> m_sightings;
    std::thread m_thread;
};

} // namespace camphortide::load
