#include <chrono>
#include <utility>

#include <camphortide/transport/instance/control_loop.hpp>

namespace camphortide::transport
{

control_loop::control_loop(state::duration interval, task periodic)
    : m_interval(interval),
      m_periodic(std::move(periodic)),
      m_thread([this] { run(); })
{
}

control_loop::~control_loop()
{
    stop();
}

void control_loop::post(task run)
{
    m_tasks.push(std::move(run));
    {
        std::scoped_lock const lock(m_mutex);
        if (std::exchange(m_pending, true))
        {
            return;
        }
    }
    m_wake.notify_one();
}

void control_loop::stop()
{
    {
        std::scoped_lock const lock(m_mutex);
        m_stopped = true;
    }
    m_wake.notify_one();
    if (m_thread.joinable() && m_thread.get_id() != std::this_thread::get_id())
    {
        m_thread.join();
    }
}

void control_loop::run()
{
    auto due = std::chrono::steady_clock::now();
    while (true)
    {
        {
            std::unique_lock lock(m_mutex);
            m_wake.wait_until(lock, due,
                              [this] { return m_pending || m_stopped; });
            if (m_stopped)
            {
                return;
            }
            m_pending = false;
        }
        run_posted();
        auto const now = std::chrono::steady_clock::now();
        if (now >= due)
        {
            m_periodic();
            due = now + m_interval;
        }
    }
}

void control_loop::run_posted()
{
    task next;
    while (m_tasks.try_pop(next))
    {
        next();
    }
}

} // namespace camphortide::transport
