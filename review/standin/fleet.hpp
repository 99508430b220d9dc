#pragma once

#include "group.hpp"

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>

namespace review
{

/// What was sent, answered and run, in the file record.txt of the case.
class record
{
public:
    explicit record(std::string const& path) : m_file(path, std::ios::trunc) {}

    void line(std::string const& text)
    {
        std::scoped_lock const lock(m_mutex);
        m_file << now_ms() << ' ' << text << '\n';
        m_file.flush();
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

/// An instance of the project: a process started with the command of the
/// deploy file.
class instance
{
public:
    /// @param program the word that the deploy file names first
    instance(std::string const& program, std::filesystem::path const& folder,
             std::string const& name, store const& platform)
        : m_program(program),
          m_folder(folder),
          m_name(name),
          m_ports(free_ports(6))
    {
        std::ofstream settings(m_folder / (m_name + ".json"));
        auto const at = [](int port)
        {
            return "\"127.0.0.1:" + std::to_string(port) + '"';
        };
        settings
            << R"({"nodeName":")" << m_name
            << R"(","role":"instance","machineClass":"edge","serves":["edge"],)"
            << R"("ip":"127.0.0.1","zone":"zone-a","region":"region",)"
            << R"("zones":{"zone-a":"region"},"listenAddrs":{"front":)"
            << at(m_ports) << R"(,"ready":)" << at(m_ports + 1)
            << R"(,"control":)" << at(m_ports + 2) << R"(},"internalPorts":[)"
            << m_ports + 3 << ',' << m_ports + 5
            << R"(],"seeds":[],"bootstrap":true,"inTolerance":false,)"
            << R"("limits":{"cpuShare":0.25,"cores":1,"memoryMb":260,)"
            << R"("maxFds":4300,"linkMbps":1000.0,"diskMb":0},)"
            << R"("dataDir":null,"discovery":"platform","entryPoint":"vip",)"
            << R"("heartbeatMs":1200,"bounds":{"stableWindowMs":4000,)"
            << R"("drainMs":7000,"graceS":6,"lossSlackMs":200,)"
            << R"("configApplyMs":3000,"recoveryS":12,)"
            << R"("fencingEnforced":false,"thawSlackMs":300},"platform":)"
            << R"({"address":")" << platform.address()
            << R"(","form":"objects","writesPerS":400,"readsPerS":2000,)"
            << R"("historyS":20,"valueBytes":1048576},"cloudApi":{"address":")"
            << platform.address()
            << R"(","ratePerS":50.0,"duties":["failover"],"dutyPerS":50.0}})";
    }

    instance(instance const&) = delete;
    instance& operator=(instance const&) = delete;

    ~instance()
    {
        if (m_process > 0)
        {
            kill();
        }
    }

    std::string const& name() const { return m_name; }
    std::uint16_t front() const { return m_ports; }
    bool running() const { return m_process > 0; }

    void start()
    {
        auto const log = (m_folder / (m_name + ".log")).string();
        auto const settings =
            "CAMPHORTIDE_CONFIG=" + (m_folder / (m_name + ".json")).string();
        m_process = ::fork();
        if (m_process == 0)
        {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            int const output =
                ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(output, STDOUT_FILENO);
            ::dup2(output, STDERR_FILENO);
            char role[] = "platform";
            std::string program = m_program;
            std::string environment = settings;
            std::string path = "PATH=/usr/bin:/bin";
            char* const arguments[] = {program.data(), role, nullptr};
            char* const variables[] = {environment.data(), path.data(),
                                       nullptr};
            ::execve(program.c_str(), arguments, variables);
            ::_exit(127);
        }
    }

    void signal(int number) const { ::kill(m_process, number); }

    /// @return true if the process has ended
    bool ended()
    {
        if (m_process > 0 && ::waitpid(m_process, &m_status, WNOHANG) != 0)
        {
            m_process = 0;
        }
        return m_process <= 0;
    }

    /// @return the wait status of the last process that ended
    int status() const { return m_status; }

    void kill()
    {
        ::kill(m_process, SIGKILL);
        ::waitpid(m_process, &m_status, 0);
        m_process = 0;
    }

    /// @return true if the readiness probe is answered with 200
    bool ready() const
    {
        auto const open =
            connection::open(static_cast<std::uint16_t>(m_ports + 1));
        if (!open || !open->write("GET /camphortide/readiness HTTP/1.1\r\n"
                                  "Host: ready\r\nConnection: close\r\n\r\n"))
        {
            return false;
        }
        auto const line = open->read_line(1000);
        return line && line->starts_with("HTTP/1.1 200");
    }

    /// @return true if the instance is ready within the time
    bool wait_ready(std::int64_t limit) const
    {
        auto const until = now_ms() + limit;
        while (now_ms() < until)
        {
            if (ready())
            {
                return true;
            }
            sleep_ms(50);
        }
        return false;
    }

private:
    std::string m_program;
    std::filesystem::path m_folder;
    std::string m_name;
    std::uint16_t m_ports;
    pid_t m_process = 0;
    int m_status = 0;
};

/// The answer to one statement of a caller.
struct answer
{
    bool m_whole = false; ///< up to its last line
    bool m_ended = false; ///< the connection was ended by the other side
    std::vector<std::string> m_rows;
    std::string m_mac;  ///< of a success
    std::string m_code; ///< of a failure
    std::string m_state;

    bool ok() const { return m_whole && m_code.empty(); }

    std::string text() const
    {
        if (!m_whole)
        {
            return m_ended ? "connection ended" : "no answer in time";
        }
        return (m_code.empty() ? "COMPLETE " + m_mac : "STMTERR " + m_code) +
               " IDLE " + m_state;
    }
};

/// A session of a caller.
class caller
{
public:
    caller(std::uint16_t port, std::string const& database,
           std::string const& who = "u1")
        : m_connection(connection::open(port))
    {
        constexpr std::int64_t patience = 2000;
        if (m_connection &&
            m_connection->write("CONNECT " + database + ' ' + who + "\r\n"))
        {
            auto const line = m_connection->read_line(patience);
            m_open = line && line->starts_with("IDLE I");
        }
    }

    bool open() const { return m_open; }

    answer query(std::string const& id, std::string const& text,
                 std::int64_t timeout)
    {
        answer result;
        auto const until = now_ms() + timeout;
        if (!m_open ||
            !m_connection->write("QUERY " + id + ' ' + text + "\r\n"))
        {
            result.m_ended = true;
            m_open = false;
            return result;
        }
        while (auto line = m_connection->read_line(
                   std::max<std::int64_t>(until - now_ms(), 0)))
        {
            auto const word = take_word(*line);
            if (word == "ROW")
            {
                result.m_rows.push_back(*line);
            }
            else if (word == "COMPLETE")
            {
                result.m_mac = *line;
            }
            else if (word == "STMTERR")
            {
                result.m_code = take_word(*line);
            }
            else if (word == "IDLE")
            {
                result.m_state = take_word(*line);
                result.m_whole = true;
                return result;
            }
        }
        result.m_ended = m_connection->ended();
        m_open = false;
        return result;
    }

    /// @return true if the other side ended the session while it was idle
    bool closed_idle(std::int64_t wait)
    {
        m_connection->read_line(wait);
        m_open = !m_connection->ended();
        return !m_open;
    }

private:
    std::shared_ptr<connection> m_connection;
    bool m_open = false;
};

/// A route of the configuration.
struct route
{
    std::string m_database;
    std::string m_service;
    std::string m_type = "primary";
    int m_timeout_ms = 800;
    int m_target_ms = 200;
};

/// @return the spec of config/main
inline std::string configuration(int version, std::vector<route> const& routes,
                                 group_settings const& group)
{
    nlohmann::json spec{{"version", version},
                        {"routes", nlohmann::json::array()},
                        {"services",
                         {{{"name", group.m_name},
                           {"healthPath", "/health"},
                           {"maxConnections", group.m_connections},
                           {"protocol", "h1"},
                           {"tls", false},
                           {"syncReplicas", group.m_sync_replicas}}}},
                        {"limits",
                         {{"headerBytes", 16384},
                          {"bodyBytes", 262144},
                          {"headerTimeoutMs", 3000},
                          {"idleTimeoutMs", 15000},
                          {"txIdleMs", 3000}}}};
    for (auto const& each : routes)
    {
        spec["routes"].push_back({{"name", "r-" + each.m_database},
                                  {"host", each.m_database},
                                  {"pathPrefix", "/"},
                                  {"routeType", each.m_type},
                                  {"timeoutMs", each.m_timeout_ms},
                                  {"targetLatencyMs", each.m_target_ms},
                                  {"priority", 1},
                                  {"service", each.m_service},
                                  {"maxAttempts", 2},
                                  {"maxStalenessMs", 2500}});
    }
    return spec.dump();
}

/// A folder for settings and logs that is removed at the end.
class scratch_folder
{
public:
    scratch_folder()
    {
        auto pattern =
            (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
        m_path = ::mkdtemp(pattern.data());
    }

    scratch_folder(scratch_folder const&) = delete;
    scratch_folder& operator=(scratch_folder const&) = delete;

    ~scratch_folder()
    {
        std::error_code ignored; // a leftover folder does no harm
        if (std::getenv("KEEP") == nullptr)
        {
            std::filesystem::remove_all(m_path, ignored);
        }
    }

    std::filesystem::path const& path() const { return m_path; }

private:
    std::filesystem::path m_path;
};

/// @return false if the case is to run without its disruption
inline bool trouble()
{
    auto const* const value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

enum class verdict
{
    held = 0,
    broken = 1,
    not_run = 2
};

} // namespace review
