#include <utility>

#include <camphortide/standin/group/timer_queue.hpp>

namespace camphortide::standin
{

timer_queue::timer_queue() : m_thread([this] { run(); }) {}

timer_queue::~timer_queue()
{
    stop();
}

void timer_queue::after(std::chrono::microseconds delay, task run)
{
    {
        std::scoped_lock const lock(m_mutex);
        m_tasks.emplace(std::chrono::steady_clock::now() + delay,
                        std::move(run));
    }
    m_changed.notify_one();
}

void timer_queue::stop()
{
    {
        std::scoped_lock const lock(m_mutex);
        m_stopped = true;
    }
    m_changed.notify_one();
    if (m_thread.joinable())
    {
        m_thread.join();
    }
}

void timer_queue::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopped)
    {
        if (m_tasks.empty())
        {
            m_changed.wait(lock);
            continue;
        }
        auto const first = m_tasks.begin();
        if (first->first > std::chrono::steady_clock::now())
        {
            auto const due = first->first;
            m_changed.wait_until(lock, due);
            continue;
        }
        auto const next = std::move(first->second);
        m_tasks.erase(first);
        lock.unlock();
        next();
        lock.lock();
    }
}

} // namespace camphortide::standin
