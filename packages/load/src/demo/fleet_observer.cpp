#include <algorithm>
#include <chrono>
#include <utility>

#include <camphortide/load/demo/fleet_observer.hpp>

namespace camphortide::load
{

namespace
{

constexpr std::chrono::milliseconds poll_interval{10};

} // namespace

fleet_observer::fleet_observer(standin::running_deployment& running,
                               run_clock now)
    : m_running(running),
      m_now(std::move(now)),
      m_thread([this] { run(); })
{
}

fleet_observer::~fleet_observer()
{
    m_stopped = true;
    if (m_thread.joinable())
    {
        m_thread.join();
    }
}

void fleet_observer::finish(run_observations& to)
{
    m_stopped = true;
    m_thread.join();
    to.m_lifetimes = std::move(m_lifetimes);
    to.m_adoptions = std::move(m_adoptions);
}

void fleet_observer::run()
{
    while (!m_stopped)
    {
        poll();
        std::this_thread::sleep_for(poll_interval);
    }
}

void fleet_observer::poll()
{
    auto const names = m_running.running();
    for (auto& [name, one] : m_watched)
    {
        bool const gone = one.m_instance != nullptr &&
                          std::ranges::find(names, name) == names.end();
        if (gone)
        {
            m_lifetimes[one.m_lifetime_index].m_until = m_now();
            one.m_instance = nullptr;
        }
    }
    for (auto const& name : names)
    {
        poll_instance(name);
    }
}

void fleet_observer::poll_instance(std::string const& name)
{
    auto const instance = m_running.instance(name);
    if (!instance)
    {
        return;
    }
    auto& one = m_watched[name];
    if (one.m_instance != instance.get())
    {
        if (one.m_instance != nullptr)
        {
            m_lifetimes[one.m_lifetime_index].m_until = m_now();
        }
        one = {instance.get(), m_lifetimes.size(), 0};
        m_lifetimes.push_back(
            {name + '#' + std::to_string(m_lifetimes.size() + 1), m_now(),
             std::nullopt});
    }
    auto const catalogue = instance->catalogue();
    if (catalogue && catalogue->version() != one.m_version)
    {
        one.m_version = catalogue->version();
        m_adoptions.push_back({m_lifetimes[one.m_lifetime_index].m_instance,
                               one.m_version, m_now()});
    }
}

} // namespace camphortide::load
