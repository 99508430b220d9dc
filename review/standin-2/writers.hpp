#pragma once

#include "deployment.hpp"

#include <atomic>

namespace review
{

/// Exit codes of a script.
constexpr int held = 0;
constexpr int broken = 1;
constexpr int not_run = 2;

inline bool wait_until(int timeout_ms, std::function<bool()> const& condition)
{
    auto const until = clock_type::now() + milliseconds(timeout_ms);
    while (clock_type::now() < until)
    {
        if (condition())
        {
            return true;
        }
        pause_for(5);
    }
    return false;
}

/// Consumers that write one after the other, each in a session of its own.
class writers
{
public:
    writers(std::uint16_t port, std::string database, record_file& record)
        : m_port(port),
          m_database(std::move(database)),
          m_record(record)
    {
        for (int i = 0; i < count; ++i)
        {
            m_threads.emplace_back([this, i] { write(i); });
        }
    }

    ~writers() { stop(); }
    writers(writers const&) = delete;
    writers& operator=(writers const&) = delete;

    void stop()
    {
        m_stopped = true;
        for (auto& each : m_threads)
        {
            if (each.joinable())
            {
                each.join();
            }
        }
    }

    std::vector<std::string> acknowledged()
    {
        std::scoped_lock const lock(m_mutex);
        return m_acknowledged;
    }

private:
    static constexpr int count = 4;
    static constexpr int pause_ms = 40;

    void write(int writer)
    {
        int number = 0;
        while (!m_stopped)
        {
            consumer session(m_port, m_database);
            bool usable = session.connected();
            while (usable && !m_stopped)
            {
                auto const id = "w" + std::to_string(writer) + '-' +
                                std::to_string(++number);
                auto const reply = session.query(
                    id, "STORE item" + std::to_string(writer) + ' ' + id);
                m_record.add("consumer: " + id + " STORE -> " +
                             (!reply.m_answered       ? "no answer"
                              : reply.m_error.empty() ? "COMPLETE"
                                                      : reply.m_error));
                if (reply.m_answered && reply.m_error.empty())
                {
                    std::scoped_lock const lock(m_mutex);
                    m_acknowledged.push_back(id);
                }
                usable = reply.m_answered && reply.m_state == 'I';
                pause_for(pause_ms);
            }
            pause_for(pause_ms);
        }
    }

    std::uint16_t m_port;
    std::string m_database;
    record_file& m_record;
    std::atomic<bool> m_stopped = false;
    std::mutex m_mutex;
    std::vector<std::string> m_acknowledged;
    std::vector<std::thread> m_threads;
};

} // namespace review
