#include <algorithm>
#include <chrono>
#include <utility>

#include <camphortide/load/demo/fleet_watch.hpp>

namespace camphortide::load
{

namespace
{

constexpr std::chrono::milliseconds interval{10};

} // namespace

fleet_watch::fleet_watch(standin::running_deployment& running, run_clock now)
    : m_running(running),
      m_now(std::move(now)),
      m_thread([this] { run(); })
{
}

fleet_watch::~fleet_watch()
{
    m_stopped = true;
    if (m_thread.joinable())
    {
        m_thread.join();
    }
}

void fleet_watch::finish(run_facts& to)
{
    m_stopped = true;
    m_thread.join();
    to.m_lives = std::move(m_lives);
    to.m_sightings = std::move(m_sightings);
}

void fleet_watch::run()
{
    while (!m_stopped)
    {
        look();
        std::this_thread::sleep_for(interval);
    }
}

void fleet_watch::look()
{
    auto const names = m_running.running();
    for (auto& [name, one] : m_watched)
    {
        bool const gone = one.m_instance != nullptr &&
                          std::ranges::find(names, name) == names.end();
        if (gone)
        {
            m_lives[one.m_life].m_until = m_now();
            one.m_instance = nullptr;
        }
    }
    for (auto const& name : names)
    {
        look_at(name);
    }
}

void fleet_watch::look_at(std::string const& name)
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
            m_lives[one.m_life].m_until = m_now();
        }
        one = {instance.get(), m_lives.size(), 0};
        m_lives.push_back({name + '#' + std::to_string(m_lives.size() + 1),
                           m_now(), std::nullopt});
    }
    auto const catalogue = instance->catalogue();
    if (catalogue && catalogue->version() != one.m_version)
    {
        one.m_version = catalogue->version();
        m_sightings.push_back(
            {m_lives[one.m_life].m_instance, one.m_version, m_now()});
    }
}

} // namespace camphortide::load
