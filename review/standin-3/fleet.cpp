#include "fleet.hpp"

#include <csignal>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review
{

namespace
{

constexpr unsigned short ports_of_instance = 6;
constexpr int answer_timeout_ms = 5000;

std::string loopback(unsigned short port)
{
    return "127.0.0.1:" + std::to_string(port);
}

} // namespace

fleet::fleet(record& log, settings values)
    : m_record(log),
      m_settings(std::move(values))
{
    for (auto const& zone : m_settings.m_zones)
    {
        instance each;
        each.m_name = "edge-" + zone + "-1";
        each.m_settings_path =
            m_settings.m_folder + '/' + each.m_name + ".json";
        each.m_log_path = m_settings.m_folder + '/' + each.m_name + ".log";
        each.m_callers_port = find_free_ports(ports_of_instance);
        each.m_readiness_port = each.m_callers_port + 1;
        each.m_peers_port = each.m_callers_port + 2;
        write_settings(each, zone);
        m_instances.push_back(std::move(each));
    }
}

fleet::~fleet()
{
    for (std::size_t i = 0; i < m_instances.size(); ++i)
    {
        send_signal(i, SIGKILL);
    }
}

void fleet::write_settings(instance const& each, std::string const& zone) const
{
    nlohmann::json const values{
        {"nodeName", each.m_name},
        {"role", "instance"},
        {"machineClass", "edge"},
        {"serves", {"edge"}},
        {"ip", "127.0.0.1"},
        {"zone", zone},
        {"region", "r"},
        {"listenAddrs",
         {{"front", loopback(each.m_callers_port)},
          {"ready", loopback(each.m_readiness_port)}}},
        {"internalPorts", {each.m_peers_port, each.m_peers_port + 3}},
        {"bootstrap", true},
        {"limits",
         {{"cpuShare", 0.25},
          {"cores", 1},
          {"memoryMb", 260},
          {"maxFds", 4300},
          {"linkMbps", 1000.0},
          {"diskMb", 0}}},
        {"heartbeatMs", 1200},
        {"bounds",
         {{"drainMs", 7000},
          {"graceS", m_settings.m_grace_s},
          {"configApplyMs", 3000},
          {"fencingEnforced", false}}},
        {"platform", {{"address", loopback(m_settings.m_store_port)}}},
        {"cloudApi", {{"address", loopback(m_settings.m_promotion_port)}}}};
    std::ofstream(each.m_settings_path) << values.dump(2);
}

void fleet::start(std::size_t index)
{
    auto& each = m_instances[index];
    auto const process = ::fork();
    if (process == 0)
    {
        // The process ends with this one, also if this one is killed.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        ::setenv("CAMPHORTIDE_CONFIG", each.m_settings_path.c_str(), 1);
        int const log = ::open(each.m_log_path.c_str(),
                               O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        ::execl(m_settings.m_program.c_str(), m_settings.m_program.c_str(),
                "platform", nullptr);
        ::_exit(127);
    }
    each.m_process = process;
    m_record.note(each.m_name + ": started");
}

void fleet::send_signal(std::size_t index, int signal)
{
    auto& each = m_instances[index];
    if (each.m_process == 0)
    {
        return;
    }
    ::kill(each.m_process, signal);
    m_record.note(each.m_name + ": signal " + std::to_string(signal));
    if (signal == SIGKILL)
    {
        ::waitpid(each.m_process, nullptr, 0);
        each.m_process = 0;
    }
}

bool fleet::await_ready(milliseconds timeout)
{
    constexpr milliseconds interval{100};
    auto const until = steady::now() + timeout;
    for (auto const& each : m_instances)
    {
        while (get_status(each.m_readiness_port, "/camphortide/readiness") !=
               200)
        {
            if (steady::now() > until)
            {
                return false;
            }
            std::this_thread::sleep_for(interval);
        }
    }
    return true;
}

bool caller::connect(unsigned short port, std::string const& database)
{
    m_stream = tcp_stream::connect(port);
    if (!m_stream)
    {
        return false;
    }
    m_stream->set_read_timeout(answer_timeout_ms);
    m_stream->write("CONNECT " + database + ' ' + m_name + "\r\n");
    auto const line = m_stream->read_line();
    if (!line || !line->starts_with("IDLE"))
    {
        m_stream.reset();
    }
    return m_stream != nullptr;
}

std::optional<caller::answer> caller::query(std::string const& id,
                                            std::string const& text)
{
    m_record.note("caller " + m_name + ": sent " + id + ' ' + text);
    m_stream->write("QUERY " + id + ' ' + text + "\r\n");
    answer result;
    while (auto const line = m_stream->read_line())
    {
        auto const space = std::min(line->find(' '), line->size());
        auto const word = line->substr(0, space);
        auto const rest = line->substr(std::min(space + 1, line->size()));
        if (word == "ROW")
        {
            result.m_rows.push_back(rest);
        }
        else if (word == "IDLE")
        {
            result.m_state = rest.substr(0, 1);
            m_record.note("caller " + m_name + ": answer to " + id + ": " +
                          (result.m_complete ? "COMPLETE " : "STMTERR ") +
                          result.m_text);
            return result;
        }
        else
        {
            result.m_complete = word == "COMPLETE";
            result.m_text = rest;
        }
    }
    m_record.note("caller " + m_name + ": no answer to " + id);
    m_stream.reset();
    return std::nullopt;
}

} // namespace review
