// The primary of a group with an acknowledging replica crashes while that
// replica is draining and the other one receives nothing.

#include "../standin/main.hpp"

namespace
{

using namespace review;

constexpr int callers = 4;

/// A caller that writes, and opens a new session when its session ends.
class writer
{
public:
    writer(int number, std::vector<std::uint16_t> ports, record& log)
        : m_number(number),
          m_ports(std::move(ports)),
          m_log(log)
    {
    }

    void run(std::int64_t until)
    {
        std::unique_ptr<caller> session;
        for (int count = 0; now_ms() < until; ++count)
        {
            if (!session || !session->open())
            {
                session = std::make_unique<caller>(
                    m_ports[static_cast<std::size_t>(count) % m_ports.size()],
                    "desk");
            }
            auto const id =
                "w" + std::to_string(m_number) + "-" + std::to_string(count);
            auto const sent = now_ms();
            auto const result = session->query(id, "STORE k" + id + " v", 3000);
            m_log.line("sent " + std::to_string(sent) + " " + id + " -> " +
                       result.text());
            if (result.ok())
            {
                m_acknowledged.push_back(id);
            }
            sleep_ms(20);
        }
    }

    std::vector<std::string> const& acknowledged() const
    {
        return m_acknowledged;
    }

private:
    int m_number;
    std::vector<std::uint16_t> m_ports;
    record& m_log;
    std::vector<std::string> m_acknowledged;
};

/// @return the acknowledged commits that aren't in the primary's log
int count_lost(std::vector<std::unique_ptr<writer>> const& writers,
               std::set<std::string> const& kept, record& log)
{
    int lost = 0;
    for (auto const& each : writers)
    {
        for (auto const& id : each->acknowledged())
        {
            if (!kept.contains(id))
            {
                ++lost;
                log.line("acknowledged and not in the log: " + id);
            }
        }
    }
    return lost;
}

verdict run(std::string const& program, std::string const& folder)
{
    record log(folder + "/record.txt");
    scratch_folder scratch;
    group* members = nullptr;
    store platform([&](std::string const&, std::string const& id)
                   { return members->promote(id); });
    group_settings settings;
    settings.m_sync_replicas = 1;
    group loans(settings, platform);
    members = &loans;
    platform.put("config", "main",
                 configuration(1, {{"desk", settings.m_name}}, settings));
    instance first(program, scratch.path(), "edge-1", platform);
    instance second(program, scratch.path(), "edge-2", platform);
    first.start();
    second.start();
    if (!first.wait_ready(15000) || !second.wait_ready(15000))
    {
        return verdict::not_run;
    }
    sleep_ms(3000);
    auto const primary = loans.primary();
    auto const draining = loans.replicas().at(0);
    auto const behind = loans.replicas().at(1);
    std::vector<std::unique_ptr<writer>> writers;
    std::vector<std::thread> threads;
    auto const until = now_ms() + 18000;
    for (int i = 0; i < callers; ++i)
    {
        writers.push_back(std::make_unique<writer>(
            i, std::vector{first.front(), second.front()}, log));
        threads.emplace_back([&each = *writers.back(), until]
                             { each.run(until); });
    }
    sleep_ms(4000);
    if (trouble())
    {
        log.line("replica " + behind + " receives nothing from now on");
        loans.set_deaf(behind, true);
    }
    sleep_ms(1000);
    log.line("replica " + draining + " reports draining");
    loans.drain(draining);
    sleep_ms(2000);
    if (trouble())
    {
        log.line("primary " + primary + " crashes");
        loans.crash(primary);
        sleep_ms(3500);
        loans.set_deaf(behind, false);
        sleep_ms(1500);
        loans.restart(primary);
        log.line("member " + primary + " is back");
    }
    for (auto& each : threads)
    {
        each.join();
    }
    for (auto const& each : platform.calls())
    {
        log.line("promotion of " + each.m_member + " by " + each.m_holder +
                 ", epoch number " + std::to_string(each.m_token) + ", at " +
                 std::to_string(each.m_at) + " -> " +
                 std::to_string(each.m_status));
    }
    std::size_t acknowledged = 0;
    for (auto const& each : writers)
    {
        acknowledged += each->acknowledged().size();
    }
    int const lost = count_lost(writers, loans.log_of(loans.primary()), log);
    log.line("primary " + loans.primary() + ", acknowledged " +
             std::to_string(acknowledged) + ", lost " + std::to_string(lost));
    std::cout << "acknowledged " << acknowledged << ", lost " << lost << '\n';
    if (acknowledged < 100 || (trouble() && loans.primary() == primary))
    {
        return verdict::not_run;
    }
    return lost > 0 ? verdict::broken : verdict::held;
}

} // namespace

int main(int count, char** values)
{
    return review::run_case(count, values, run);
}
