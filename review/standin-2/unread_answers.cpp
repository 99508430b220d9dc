// Callers send statements and read no answers. Plays the platform's memory
// limit: a process that exceeds it is killed and started again. Checks that
// this doesn't happen three times on two machines.
#include "writers.hpp"

#include <fstream>
#include <iostream>

namespace
{

using namespace review;

constexpr long memory_limit_kb = 260L * 1024; ///< memoryMb in the settings
constexpr int instance_count = 3;
constexpr int peers_per_instance = 4;
constexpr int windows = 4;
constexpr milliseconds window_time{6500};

/// A caller that sends statements and doesn't read.
void flood(std::uint16_t port, std::atomic<bool> const& stopped)
{
    std::string statements;
    for (int i = 0; i < 500; ++i)
    {
        statements +=
            "QUERY p" + std::to_string(i) + " SETPARAM name value\r\n";
    }
    while (!stopped)
    {
        auto const socket = connect_to(port);
        bool usable = socket.open() && socket.write("CONNECT db-svc-a u1\r\n");
        // A caller whose answers nobody takes is held up here.
        timeval const limit{1, 0};
        ::setsockopt(socket.handle(), SOL_SOCKET, SO_SNDTIMEO, &limit,
                     sizeof(limit));
        while (usable && !stopped)
        {
            usable = socket.write(statements);
        }
        pause_for(100);
    }
}

class small_deployment
{
public:
    small_deployment(std::string const& folder, record_file& record)
        : m_record(record),
          m_group("svc-a", "sede-centro", {"a-1", "a-2", "a-3"}, {}, m_store,
                  record),
          m_service([](http_message const&) { return http_answer{}; })
    {
        m_store.put("config", "main", desired_state({"svc-a"}, "primary"));
        for (int i = 0; i < instance_count; ++i)
        {
            auto const name = "edge-sede-centro-" + std::to_string(i + 1);
            m_instances.push_back(std::make_unique<instance>(
                std::filesystem::path(folder) / name,
                instance_settings{name, m_store.port(), m_service.port()},
                record));
        }
        m_ends.resize(m_instances.size());
        m_largest.resize(m_instances.size());
    }

    void end_processes()
    {
        for (auto const& each : m_instances)
        {
            each->kill();
        }
    }

    int run()
    {
        for (auto const& each : m_instances)
        {
            each->start();
        }
        for (auto const& each : m_instances)
        {
            if (!each->wait_until_ready(15000))
            {
                m_record.add("not run: " + each->name() + " isn't ready");
                return not_run;
            }
        }
        pause_for(2000);
        writers consumers(m_instances.front()->front(), "db-svc-a", m_record);
        for (int i = 0; i < windows; ++i)
        {
            disturb();
        }
        consumers.stop();
        return check(consumers.acknowledged().size());
    }

private:
    void disturb()
    {
        m_record.add("callers begin to send without reading");
        std::atomic<bool> stopped = false;
        std::vector<std::thread> peers;
        for (int i = 0; troubled() && i < peers_per_instance; ++i)
        {
            for (auto const& each : m_instances)
            {
                peers.emplace_back([&, port = each->front()]
                                   { flood(port, stopped); });
            }
        }
        auto const until = clock_type::now() + window_time;
        while (clock_type::now() < until)
        {
            limit_memory();
            pause_for(50);
        }
        stopped = true;
        for (auto& each : peers)
        {
            each.join();
        }
        m_record.add("the callers are gone");
        pause_for(1000);
    }

    void limit_memory()
    {
        for (std::size_t i = 0; i < m_instances.size(); ++i)
        {
            auto& each = *m_instances[i];
            long const used = each.resident_kb();
            m_largest[i] = std::max(m_largest[i], used);
            if (used > memory_limit_kb)
            {
                m_record.add("instance " + each.name() + " uses " +
                             std::to_string(used) +
                             " kB: the platform kills it");
                ++m_ends[i];
                each.kill();
                each.start();
            }
        }
    }

    int check(std::size_t acknowledged)
    {
        int machines = 0;
        for (std::size_t i = 0; i < m_instances.size(); ++i)
        {
            m_record.add(m_instances[i]->name() + " was killed " +
                         std::to_string(m_ends[i]) + " times, at most " +
                         std::to_string(m_largest[i]) + " kB");
            machines += m_ends[i] >= 3 ? 1 : 0;
        }
        m_record.add(std::to_string(acknowledged) +
                     " writes of other consumers were acknowledged");
        if (machines >= 2)
        {
            m_record.add(
                "Fault: processes ended by themselves three times on " +
                std::to_string(machines) + " machines");
        }
        return machines >= 2 ? broken : held;
    }

    record_file& m_record;
    object_store m_store;
    database_group m_group;
    http_server m_service;
    std::vector<std::unique_ptr<instance>> m_instances;
    std::vector<int> m_ends;
    std::vector<long> m_largest;
};

} // namespace

int main(int count, char** arguments)
{
    if (count < 3)
    {
        std::cerr << "usage: unread_answers FOLDER RECORD\n";
        return not_run;
    }
    review::record_file record(arguments[2]);
    small_deployment deployment(arguments[1], record);
    int const result = deployment.run();
    deployment.end_processes();
    record.add("result " + std::to_string(result));
    std::_Exit(result); // threads of the stand-ins are still running
}
