// The only replica of a service with two members receives nothing for a while.
// The primary crashes, the replica is promoted and crashes, and the first
// primary is back before it. Checks that a read that ran without an
// acknowledged commit did so because a promotion rolled the commit back.

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
/// From the start of the disruptions:
constexpr milliseconds primary_crash{1000};
constexpr milliseconds replica_crash{4000};
constexpr milliseconds primary_back{5000};
constexpr milliseconds deaf_end{6400};
constexpr milliseconds replica_back{10500};
constexpr milliseconds end{20000};
constexpr milliseconds read_interval{100};

struct loan_read
{
    std::string m_id;
    std::string m_value;
    std::string m_member; ///< that signed the answer
};

/// Reads an item again and again, on a new connection after each failure.
class reader
{
public:
    reader(record& log, unsigned short port)
        : m_caller(log, "reader"),
          m_port(port)
    {
    }

    void read(std::string const& item)
    {
        if (!m_caller.connected() && !m_caller.connect(m_port, "emprestimos"))
        {
            return;
        }
        auto const id = "r" + std::to_string(++m_count);
        auto const answer = m_caller.query(id, "FETCH " + item);
        if (answer && answer->m_complete && !answer->m_rows.empty())
        {
            constexpr std::size_t name_at = 4; // after "mac-"
            constexpr std::size_t name_size = 3;
            m_reads.push_back({id, answer->m_rows.front(),
                               answer->m_text.substr(name_at, name_size)});
        }
    }

    std::vector<loan_read> const& reads() const { return m_reads; }

private:
    caller m_caller;
    unsigned short m_port;
    int m_count = 0;
    std::vector<loan_read> m_reads;
};

void disrupt(group& service, std::stop_token const& stop)
{
    auto const start = steady::now();
    std::vector<std::pair<milliseconds, std::function<void()>>> const events{
        {primary_crash,
         [&]
         {
             service.crash("i-p");
         }},
        {replica_crash,
         [&]
         {
             service.crash("i-a");
         }},
        {primary_back,
         [&]
         {
             service.restart("i-p");
         }},
        {deaf_end,
         [&]
         {
             service.set_deaf("i-a", false);
         }},
        {replica_back, [&]
         {
             service.restart("i-a");
         }}};
    for (auto const& [time, event] : events)
    {
        std::this_thread::sleep_until(start + time);
        if (stop.stop_requested())
        {
            return;
        }
        event();
    }
}

int check(record& log, std::vector<loan_read> const& reads)
{
    if (reads.empty() || reads.back().m_value != "out")
    {
        log.note("the write isn't there at the end");
        return reads.empty() ? not_run : held; // a promotion rolled it back
    }
    std::size_t stale = 0;
    for (auto const& each : reads)
    {
        stale += each.m_value == "out" ? 0 : 1;
    }
    log.note("reads: " + std::to_string(reads.size()) +
             ", without the acknowledged write: " + std::to_string(stale));
    if (stale == 0)
    {
        return held;
    }
    log.note("STALE: reads ran without a commit that was acknowledged before "
             "and that no promotion rolled back");
    return broken;
}

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

    auto const port = instances.instances().front().m_callers_port;
    if (trouble)
    {
        service.set_deaf("i-a", true);
    }
    caller desk(log, "desk");
    if (!desk.connect(port, "emprestimos"))
    {
        return not_run;
    }
    auto const written = desk.query("w1", "STORE trike out");
    if (!written || !written->m_complete)
    {
        log.note("the write isn't acknowledged");
        return not_run;
    }
    std::jthread const disruptions(
        [trouble](std::stop_token const& stop)
        {
            if (trouble)
            {
                disrupt(service, stop);
            }
        });
    reader family(log, port);
    auto const until = steady::now() + end;
    while (steady::now() < until)
    {
        family.read("trike");
        std::this_thread::sleep_for(read_interval);
    }
    return check(log, family.reads());
}

} // namespace

/// Arguments: the record, the program, a folder for settings and logs.
int main(int count, char** values)
{
    if (count != 4)
    {
        std::cerr << "usage: discarded_commits RECORD PROGRAM FOLDER\n";
        return not_run;
    }
    auto const* const trouble = std::getenv("TROUBLE");
    int const result =
        run(values[1], values[2], values[3],
            trouble == nullptr || std::string_view(trouble) != "0");
    std::_Exit(result); // other threads still serve connections
}
