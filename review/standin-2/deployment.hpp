#pragma once

#include "group.hpp"

#include <csignal>
#include <cstdlib>
#include <filesystem>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>

namespace review
{

/// Settings of one instance on the platform.
struct instance_settings
{
    std::string m_name;
    std::uint16_t m_store_port = 0;
    std::uint16_t m_promotion_port = 0;
};

/// An instance: `target/bin/camphortided platform` as a process of its own.
class instance
{
public:
    instance(std::filesystem::path folder, instance_settings settings,
             record_file& record)
        : m_folder(std::move(folder)),
          m_settings(std::move(settings)),
          m_record(record),
          m_front(free_ports()),
          m_ready(free_ports()),
          m_internal(free_ports())
    {
        std::filesystem::create_directories(m_folder);
        write_settings();
    }

    ~instance() { kill(); }
    instance(instance const&) = delete;
    instance& operator=(instance const&) = delete;

    std::string const& name() const { return m_settings.m_name; }
    std::uint16_t front() const { return m_front; }
    bool running() const { return m_process > 0; }

    void start()
    {
        m_record.add("instance " + name() + " starts");
        auto const config =
            "CAMPHORTIDE_CONFIG=" + (m_folder / "settings.json").string();
        auto const log = (m_folder / "log.txt").string();
        auto const* const path = std::getenv("PATH");
        auto const variable =
            std::string("PATH=") + (path == nullptr ? "/usr/bin" : path);
        m_process = ::fork();
        if (m_process == 0)
        {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            int const output =
                ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            ::dup2(output, STDOUT_FILENO);
            ::dup2(output, STDERR_FILENO);
            char program[] = "target/bin/camphortided";
            char mode[] = "platform";
            char* arguments[] = {program, mode, nullptr};
            std::string values[] = {config, variable};
            char* environment[] = {values[0].data(), values[1].data(), nullptr};
            ::execve(program, arguments, environment);
            std::_Exit(127);
        }
    }

    /// Waits until the readiness probe answers with 200.
    bool wait_until_ready(int timeout_ms) const
    {
        auto const until = clock_type::now() + milliseconds(timeout_ms);
        while (clock_type::now() < until)
        {
            auto socket = connect_to(m_ready);
            if (socket.open() &&
                socket.write("GET /camphortide/readiness HTTP/1.1\r\nHost: "
                             "localhost\r\n\r\n"))
            {
                auto const line = socket.read_line(1000);
                if (line && line->find(" 200 ") != std::string::npos)
                {
                    return true;
                }
            }
            pause_for(100);
        }
        return false;
    }

    void signal(int number)
    {
        m_record.add("signal " + std::to_string(number) + " to instance " +
                     name());
        if (m_process > 0)
        {
            ::kill(m_process, number);
        }
    }

    void kill()
    {
        if (m_process > 0)
        {
            ::kill(m_process, SIGKILL);
            ::waitpid(m_process, nullptr, 0);
            m_process = -1;
        }
    }

private:
    static bool is_free(std::uint16_t port)
    {
        int const handle = ::socket(AF_INET, SOCK_STREAM, 0);
        auto const address = loopback(port);
        bool const free =
            ::bind(handle, reinterpret_cast<sockaddr const*>(&address),
                   sizeof(address)) == 0;
        ::close(handle);
        return free;
    }

    /// @return the first of two free ports. They lie below the range from which
    ///     the system takes the ports of outgoing connections, and the search
    ///     begins elsewhere in each process.
    static std::uint16_t free_ports()
    {
        constexpr int first_port = 20000;
        constexpr int count = 6000;
        static int next = ::getpid() * 31 % count;
        while (true)
        {
            next = (next + 1) % count;
            auto const port = static_cast<std::uint16_t>(first_port + 2 * next);
            auto const second = static_cast<std::uint16_t>(port + 1);
            if (is_free(port) && is_free(second))
            {
                return port;
            }
        }
    }

    void write_settings() const
    {
        auto const local = [](std::uint16_t port)
        {
            return "127.0.0.1:" + std::to_string(port);
        };
        json const settings{
            {"nodeName", name()},
            {"role", "instance"},
            {"machineClass", "edge"},
            {"serves", {"edge"}},
            {"ip", "127.0.0.1"},
            {"zone", "sede-centro"},
            {"region", "serra-gaucha"},
            {"zones", {{"sede-centro", "serra-gaucha"}}},
            {"listenAddrs",
             {{"front", local(m_front)}, {"ready", local(m_ready)}}},
            {"internalPorts", {m_internal, m_internal + 1}},
            {"seeds", json::array()},
            {"bootstrap", true},
            {"inTolerance", false},
            {"limits",
             {{"cpuShare", 0.25},
              {"cores", 1},
              {"memoryMb", 260},
              {"maxFds", 4300},
              {"linkMbps", 1000.0},
              {"diskMb", 0}}},
            {"dataDir", nullptr},
            {"discovery", "platform"},
            {"heartbeatMs", 1200},
            {"contracts",
             {"base", "drain", "config", "cost", "recover", "sql", "platform"}},
            {"bounds",
             {{"stableWindowMs", 4000},
              {"drainMs", 7000},
              {"graceS", 6},
              {"lossSlackMs", 200},
              {"configApplyMs", 3000},
              {"rollbackSlackMs", 250},
              {"recoveryS", 12},
              {"fencingEnforced", false},
              {"thawSlackMs", 300}}},
            {"platform",
             {{"address", local(m_settings.m_store_port)},
              {"form", "objects"},
              {"writesPerS", 400},
              {"readsPerS", 2000},
              {"historyS", 20},
              {"valueBytes", 1048576}}},
            {"cloudApi",
             {{"address", local(m_settings.m_promotion_port)},
              {"ratePerS", 50.0},
              {"duties", {"failover"}},
              {"dutyPerS", 50.0}}}};
        std::ofstream(m_folder / "settings.json") << settings.dump(1);
    }

    std::filesystem::path m_folder;
    instance_settings m_settings;
    record_file& m_record;
    std::uint16_t m_front;
    std::uint16_t m_ready;
    std::uint16_t m_internal;
    pid_t m_process = -1;
};

/// @return a desired state with one route and one service for each group
inline json desired_state(std::vector<std::string> const& groups,
                          std::string const& route_type, int sync_replicas = 0)
{
    json state{{"version", 10},
               {"limits", {{"txIdleMs", 3000}}},
               {"routes", json::array()},
               {"services", json::array()}};
    for (auto const& group : groups)
    {
        state["routes"].push_back({{"name", "r-" + group},
                                   {"host", "db-" + group},
                                   {"service", group},
                                   {"routeType", route_type},
                                   {"maxStalenessMs", 1500},
                                   {"timeoutMs", 800},
                                   {"targetLatencyMs", 120},
                                   {"priority", 1}});
        state["services"].push_back({{"name", group},
                                     {"maxConnections", 16},
                                     {"syncReplicas", sync_replicas}});
    }
    return state;
}

/// A consumer's session.
class consumer
{
public:
    struct reply
    {
        bool m_answered = false;
        std::string m_error; ///< code; empty: success
        std::string m_row;
        std::string m_mac;
        char m_state = '?';
    };

    consumer(std::uint16_t port, std::string const& database)
        : m_socket(connect_to(port))
    {
        if (m_socket.open() &&
            m_socket.write("CONNECT " + database + " u1\r\n"))
        {
            auto const line = m_socket.read_line(2000);
            m_connected = line && line->rfind("IDLE", 0) == 0;
        }
    }

    bool connected() const { return m_connected; }

    reply query(std::string const& id, std::string const& text)
    {
        reply result;
        if (!m_socket.write("QUERY " + id + ' ' + text + "\r\n"))
        {
            return result;
        }
        while (auto const line = m_socket.read_line(3000))
        {
            std::istringstream words(*line);
            std::string word;
            words >> word;
            if (word == "ROW")
            {
                words >> result.m_row;
            }
            else if (word == "COMPLETE")
            {
                words >> result.m_mac;
            }
            else if (word == "STMTERR")
            {
                words >> result.m_error;
            }
            else if (word == "IDLE")
            {
                words >> result.m_state;
                result.m_answered = true;
                return result;
            }
        }
        return result;
    }

private:
    tcp_socket m_socket;
    bool m_connected = false;
};

inline bool troubled()
{
    auto const* const value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

} // namespace review
