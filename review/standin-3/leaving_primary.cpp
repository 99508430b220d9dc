// The primary of a service with two members leaves as planned. The member that
// took over crashes. Checks that no statement reaches the leaving member later
// than 7 s (drainMs) after its report.

#include "fleet.hpp"
#include "group.hpp"

#include <cstdlib>
#include <iostream>

using namespace review;

namespace
{

constexpr int held = 0;
constexpr int broken = 1;
constexpr int not_run = 2;

constexpr milliseconds ready_timeout{20000};
constexpr milliseconds settling_time{6000};
constexpr milliseconds drain_time{7000};
/// From the report that the primary leaves:
constexpr milliseconds successor_crash{8000};
constexpr milliseconds successor_back{13000};
constexpr milliseconds exit_time{15000};
constexpr milliseconds statement_interval{50};

/// Sends single writes, on a new connection after each failure.
class writer
{
public:
    writer(record& log, unsigned short port)
        : m_caller(log, "desk"),
          m_port(port)
    {
    }

    void write()
    {
        if (!m_caller.connected() && !m_caller.connect(m_port, "emprestimos"))
        {
            return;
        }
        auto const id = "w" + std::to_string(++m_count);
        auto const answer = m_caller.query(id, "STORE loan out");
        m_served += answer && answer->m_complete ? 1 : 0;
    }

    std::size_t served() const { return m_served; }

private:
    caller m_caller;
    unsigned short m_port;
    int m_count = 0;
    std::size_t m_served = 0;
};

int run(std::string const& record_path, std::string const& program,
        std::string const& folder, bool trouble)
{
    // Threads use these until the process ends.
    static record log(record_path);
    static store metadata(log);
    metadata.start();
    group::settings service_settings;
    service_settings.m_members = {"i-p", "i-a"};
    static group service(log, metadata, service_settings);
    static promotion_api platform(log, {&service});
    platform.start();
    service.start();
    service.configure("emprestimos");
    fleet instances(log, {.m_program = program,
                          .m_folder = folder,
                          .m_store_port = metadata.port(),
                          .m_promotion_port = platform.port()});
    for (std::size_t i = 0; i < instances.instances().size(); ++i)
    {
        instances.start(i);
    }
    if (!instances.await_ready(ready_timeout))
    {
        log.note("an instance isn't ready");
        return not_run;
    }
    std::this_thread::sleep_for(settling_time);

    writer desk(log, instances.instances().front().m_callers_port);
    desk.write();
    service.begin_leaving("i-p");
    auto const start = steady::now();
    std::vector<std::pair<milliseconds, std::function<void()>>> const events{
        {successor_crash,
         [&]
         {
             service.crash("i-a");
         }},
        {successor_back, [&]
         {
             service.restart("i-a");
         }}};
    std::size_t done = 0;
    while (steady::now() < start + exit_time)
    {
        if (done < events.size() && steady::now() >= start + events[done].first)
        {
            if (trouble)
            {
                events[done].second();
            }
            ++done;
        }
        desk.write();
        std::this_thread::sleep_for(statement_interval);
    }
    auto const late = service.runs_after("i-p", start + drain_time);
    log.note("writes served: " + std::to_string(desk.served()) +
             ", run by the leaving member later than drainMs: " +
             std::to_string(late));
    service.crash("i-p");
    if (late > 0)
    {
        log.note("DRAIN: statements reached a member that had left for "
                 "longer than drainMs");
        return broken;
    }
    return desk.served() == 0 ? not_run : held;
}

} // namespace

/// Arguments: the record, the program, a folder for settings and logs.
int main(int count, char** values)
{
    if (count != 4)
    {
        std::cerr << "usage: leaving_primary RECORD PROGRAM FOLDER\n";
        return not_run;
    }
    auto const* const trouble = std::getenv("TROUBLE");
    int const result =
        run(values[1], values[2], values[3],
            trouble == nullptr || std::string_view(trouble) != "0");
    std::_Exit(result); // other threads still serve connections
}
