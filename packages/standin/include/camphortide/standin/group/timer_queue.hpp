#pragma once

#include <chrono>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

namespace camphortide::standin
{

/// Runs functions after a delay, on its own thread.
class timer_queue
{
public:
    using task = std::function<void()>;

    timer_queue();
    ~timer_queue();
    timer_queue(timer_queue const&) = delete;
    timer_queue& operator=(timer_queue const&) = delete;

    /// Runs a function after a delay.
    /// @param delay in microseconds; 0 runs it as soon as possible
    void after(std::chrono::microseconds delay, task run);

    /// Stops the thread and discards the functions that have not run.
    void stop();

private:
    using monotonic_time = std::chrono::steady_clock::time_point;

    void run();

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::multimap<monotonic_time, task> m_tasks;
    bool m_stopped = false;
    std::thread m_thread;
};

} // namespace camphortide::standin
