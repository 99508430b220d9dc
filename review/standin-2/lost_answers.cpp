// The primary of a service loses the answers to a share of what it runs, for
// some seconds. Checks that requests are served again afterwards.
#include "writers.hpp"

#include <atomic>
#include <iostream>

namespace
{

using namespace review;

/// As in the largest entry of the users' days.
constexpr double lost_share = 0.039;
constexpr milliseconds loss_time{5000};
constexpr milliseconds gap_time{100};
/// Between the end of the disruption and the requests that are counted.
constexpr milliseconds recovery_time{12000};
constexpr milliseconds measured_time{8000};

/// Counts the operations that consumers send and that are served.
struct operation_counts
{
    std::atomic<int> m_sent = 0;
    std::atomic<int> m_served = 0;
};

/// Consumers of one instance. A quarter of their operations are transactions,
/// half of which roll back.
class consumers
{
public:
    consumers(std::uint16_t port, std::string name, std::string database,
              record_file& record)
        : m_port(port),
          m_name(std::move(name)),
          m_database(std::move(database)),
          m_record(record)
    {
        for (int i = 0; i < count; ++i)
        {
            m_threads.emplace_back([this, i] { run(i); });
        }
    }

    ~consumers() { stop(); }
    consumers(consumers const&) = delete;
    consumers& operator=(consumers const&) = delete;

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

    operation_counts const& counts() const { return m_counts; }

private:
    static constexpr int count = 24;
    static constexpr int pause_ms = 180;

    void run(int number)
    {
        int operation = number; // so that they don't do the same at once
        while (!m_stopped)
        {
            consumer session(m_port, m_database);
            bool usable = session.connected();
            while (usable && !m_stopped)
            {
                auto const id = m_name + std::to_string(number) + '-' +
                                std::to_string(++operation);
                ++m_counts.m_sent;
                auto const reply = operate(session, id, operation);
                m_counts.m_served +=
                    reply.m_answered && reply.m_error.empty() ? 1 : 0;
                m_record.add("consumer: operation " + id + " -> " +
                             (!reply.m_answered       ? "no answer"
                              : reply.m_error.empty() ? "COMPLETE"
                                                      : reply.m_error));
                usable = reply.m_answered && reply.m_state == 'I';
                pause_for(pause_ms);
            }
            pause_for(pause_ms);
        }
    }

    /// @return the answer that decides whether the operation was served
    static consumer::reply operate(consumer& session, std::string const& id,
                                   int operation)
    {
        bool const transaction = operation % 4 == 0;
        bool const rolls_back = operation % 8 == 0;
        if (!transaction)
        {
            return session.query(id, "FETCH item");
        }
        session.query(id + "b", "BEGIN");
        auto const read = session.query(id + "r", "FETCH item");
        if (rolls_back || !read.m_error.empty())
        {
            auto const end = session.query(id + "e", "ROLLBACK");
            auto result = read;
            result.m_state = end.m_state;
            result.m_answered = read.m_answered && end.m_answered;
            return result;
        }
        return session.query(id + "e", "COMMIT");
    }

    std::uint16_t m_port;
    std::string m_name;
    std::string m_database;
    record_file& m_record;
    operation_counts m_counts;
    std::atomic<bool> m_stopped = false;
    std::vector<std::thread> m_threads;
};

class small_deployment
{
public:
    small_deployment(std::string const& folder, record_file& record)
        : m_record(record),
          m_group("svc-a", "sede-centro", {"a-1", "a-2", "a-3"}, {}, m_store,
                  record),
          m_service([this](http_message const& request)
                    { return promote(request); })
    {
        m_store.put("config", "main", desired_state({"svc-a"}, "primary"));
        for (int i = 0; i < 3; ++i)
        {
            auto const name = "edge-sede-centro-" + std::to_string(i + 1);
            m_instances.push_back(std::make_unique<instance>(
                std::filesystem::path(folder) / name,
                instance_settings{name, m_store.port(), m_service.port()},
                record));
        }
    }

    void end_processes()
    {
        for (auto const& each : m_instances)
        {
            each->kill();
        }
    }

    int run(int losses)
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
        pause_for(3000);
        for (auto const& each : m_instances)
        {
            m_consumers.push_back(std::make_unique<consumers>(
                each->front(), "i" + std::to_string(m_consumers.size()) + "c",
                "db-svc-a", m_record));
        }
        bool const before =
            measure("before the disruption", milliseconds(5000));
        for (int i = 0; i < losses; ++i)
        {
            lose_answers();
        }
        std::this_thread::sleep_for(recovery_time);
        m_record.add("open connections to the primary: " +
                     std::to_string(m_group.connections("a-1")));
        bool const after = measure("after the recovery", measured_time);
        for (auto const& each : m_consumers)
        {
            each->stop();
        }
        if (!before)
        {
            m_record.add("not run: too little was served at first");
            return not_run;
        }
        return after ? held : broken;
    }

private:
    http_answer promote(http_message const& request)
    {
        auto const body = json::parse(request.m_body);
        auto const id = body.at("id").get<std::string>();
        m_record.add("promotion service: member " + id);
        return {m_group.promote(id), "{}"};
    }

    void lose_answers()
    {
        m_record.add("the primary begins to lose answers");
        m_group.lose_answers("a-1", troubled() ? lost_share : 0);
        std::this_thread::sleep_for(loss_time);
        m_group.lose_answers("a-1", 0);
        m_record.add("the primary answers everything again");
        std::this_thread::sleep_for(gap_time);
    }

    /// @return true if at least a quarter of the operations is served at each
    ///     instance together
    bool measure(std::string const& when, milliseconds time)
    {
        std::vector<std::pair<int, int>> earlier;
        for (auto const& each : m_consumers)
        {
            earlier.emplace_back(each->counts().m_sent,
                                 each->counts().m_served);
        }
        std::this_thread::sleep_for(time);
        int sent = 0;
        int served = 0;
        for (std::size_t i = 0; i < m_consumers.size(); ++i)
        {
            auto const& counts = m_consumers[i]->counts();
            int const sent_here = counts.m_sent - earlier[i].first;
            int const served_here = counts.m_served - earlier[i].second;
            m_record.add(when + ": " + m_instances[i]->name() + " served " +
                         std::to_string(served_here) + " of " +
                         std::to_string(sent_here));
            sent += sent_here;
            served += served_here;
        }
        m_record.add(when + ": served " + std::to_string(served) + " of " +
                     std::to_string(sent));
        return served * 4 >= sent && served > 0;
    }

    record_file& m_record;
    object_store m_store;
    database_group m_group;
    http_server m_service;
    std::vector<std::unique_ptr<instance>> m_instances;
    std::vector<std::unique_ptr<consumers>> m_consumers;
};

} // namespace

int main(int count, char** arguments)
{
    if (count < 4)
    {
        std::cerr << "usage: lost_answers FOLDER RECORD COUNT\n";
        return not_run;
    }
    review::record_file record(arguments[2]);
    small_deployment deployment(arguments[1], record);
    int const result = deployment.run(std::stoi(arguments[3]));
    deployment.end_processes();
    record.add("result " + std::to_string(result));
    std::_Exit(result); // threads of the stand-ins are still running
}
