#pragma once

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

#include <oneapi/tbb/concurrent_queue.h>

#include <camphortide/state/clock.hpp>

namespace camphortide::transport
{

/// The thread that owns an instance's control state. Runs posted tasks in the
/// order of posting, and a periodic task.
class control_loop
{
public:
    using task = std::function<void()>;

    /// @param interval time between two runs of the periodic task
    /// @param periodic called on the loop's thread
    control_loop(state::duration interval, task periodic);
    ~control_loop();
    control_loop(control_loop const&) = delete;
    control_loop& operator=(control_loop const&) = delete;

    /// Schedules a task on the loop's thread. A task that has not started when
    /// the loop stops is dropped.
    void post(task run);

    /// Ends the thread after the running task.
    void stop();

private:
    void run();
    void run_posted();

    state::duration const m_interval;
    task const m_periodic;
    oneapi::tbb::concurrent_queue<task> m_tasks;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    bool m_pending = false;
    bool m_stopped = false;
    std::thread m_thread;
};

} // namespace camphortide::transport
