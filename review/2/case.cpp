// The store comes back from a copy a few seconds old while an instance is
// restarted and the members are replaced one after the other.

#include "../standin/main.hpp"

namespace
{

using namespace review;

constexpr int callers = 6;
constexpr std::int64_t restart_delay_ms = 500;
constexpr std::int64_t away_ms = 500;
constexpr std::int64_t storm_gap_ms = 330; // gap_s of config_storm
constexpr int storm_versions = 9;
constexpr std::int64_t drain_ms = 7000; // drainMs

struct write
{
    std::string m_id;
    std::int64_t m_answered = 0;
    answer m_answer;
};

/// A caller that writes at one instance.
class writer
{
public:
    writer(int number, std::uint16_t port, record& log)
        : m_number(number),
          m_port(port),
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
                session = std::make_unique<caller>(m_port, "desk");
            }
            write each;
            each.m_id =
                "w" + std::to_string(m_number) + "-" + std::to_string(count);
            auto const sent = now_ms();
            each.m_answer =
                session->query(each.m_id, "STORE k" + each.m_id + " v", 3000);
            each.m_answered = now_ms();
            m_log.line("sent " + std::to_string(sent) + " " + each.m_id +
                       " -> " + each.m_answer.text());
            m_writes.push_back(each);
            sleep_ms(25);
        }
    }

    std::vector<write> const& writes() const { return m_writes; }

private:
    int m_number;
    std::uint16_t m_port;
    record& m_log;
    std::vector<write> m_writes;
};

std::string duty_of(store const& platform)
{
    auto const duty = platform.read("camphortide", "duty");
    return duty.is_object() ? duty.value("holder", "") + ", epoch number " +
                                  std::to_string(duty.value("token", 0))
                            : "nobody";
}

std::string holder(store const& platform)
{
    auto const duty = platform.read("camphortide", "duty");
    return duty.is_object() ? duty.value("holder", "") : "";
}

template <typename Condition>
bool wait_for(std::int64_t limit, Condition condition)
{
    auto const until = now_ms() + limit;
    while (now_ms() < until)
    {
        if (condition())
        {
            return true;
        }
        sleep_ms(10);
    }
    return false;
}

/// @return true if two holders promoted with one epoch number, or a lower one
///     came after a higher one
bool epochs_broken(store const& platform, record& log)
{
    bool broken = false;
    std::map<std::uint64_t, std::string> holders;
    std::uint64_t highest = 0;
    for (auto const& each : platform.calls())
    {
        log.line("promotion of " + each.m_member + " by " + each.m_holder +
                 ", epoch number " + std::to_string(each.m_token) + ", at " +
                 std::to_string(each.m_at) + " -> " +
                 std::to_string(each.m_status));
        auto const first =
            holders.try_emplace(each.m_token, each.m_holder).first->second;
        if (first != each.m_holder || each.m_token < highest)
        {
            broken = true;
            log.line("broken: epoch number " + std::to_string(each.m_token) +
                     " by " + each.m_holder + " after " + first);
        }
        highest = std::max(highest, each.m_token);
    }
    return broken;
}

/// @return the acknowledged writes that a former primary committed after a
///     promotion had its effect
int count_late_commits(group const& members,
                       std::vector<std::unique_ptr<writer>> const& writers,
                       record& log)
{
    std::set<std::string> acknowledged;
    for (auto const& each : writers)
    {
        for (auto const& sent : each->writes())
        {
            if (sent.m_answer.ok())
            {
                acknowledged.insert(sent.m_id);
            }
        }
    }
    auto const kept = members.log_of(members.primary());
    int late = 0;
    for (auto const& lead : members.leads())
    {
        log.line("promotion of " + lead.m_member + " in effect at " +
                 std::to_string(lead.m_at) + ", before: " + lead.m_former);
        for (auto const& each : members.runs())
        {
            if (each.m_member == lead.m_former && each.m_at > lead.m_at &&
                acknowledged.contains(each.m_id))
            {
                ++late;
                log.line(
                    "broken: " + each.m_id + " committed at " + each.m_member +
                    " at " + std::to_string(each.m_at) + " and acknowledged, " +
                    (kept.contains(each.m_id) ? "kept" : "not in the log now"));
            }
        }
    }
    return late;
}

verdict run(std::string const& program, std::string const& folder)
{
    record log(folder + "/record.txt");
    scratch_folder scratch;
    group* members = nullptr;
    store platform([&](std::string const&, std::string const& id)
                   { return members->promote(id); });
    group_settings settings;
    group loans(settings, platform);
    members = &loans;
    int version = 1;
    auto const configure = [&]
    {
        route desk{"desk", settings.m_name};
        desk.m_timeout_ms += version; // versions change time-outs
        platform.put("config", "main",
                     configuration(version, {desk}, settings));
    };
    configure();
    std::vector<std::unique_ptr<instance>> instances;
    for (int i = 1; i <= 3; ++i)
    {
        instances.push_back(std::make_unique<instance>(
            program, scratch.path(), "edge-" + std::to_string(i), platform));
        instances.back()->start();
    }
    for (auto const& each : instances)
    {
        if (!each->wait_ready(15000))
        {
            return verdict::not_run;
        }
    }
    sleep_ms(5000);
    auto const name = holder(platform);
    auto const found = std::ranges::find_if(instances, [&](auto const& each)
                                            { return each->name() == name; });
    if (found == instances.end())
    {
        return verdict::not_run;
    }
    auto& restarted = **found;
    std::vector<std::uint16_t> ports;
    for (auto const& each : instances)
    {
        if (each->name() != name)
        {
            ports.push_back(each->front());
        }
    }
    std::vector<std::unique_ptr<writer>> writers;
    std::vector<std::thread> threads;
    threads.reserve(callers);
    auto const until = now_ms() + 22000;
    for (int i = 0; i < callers; ++i)
    {
        writers.push_back(std::make_unique<writer>(
            i, ports[static_cast<std::size_t>(i) % ports.size()], log));
        threads.emplace_back([&each = *writers.back(), until]
                             { each.run(until); });
    }
    sleep_ms(2000);

    auto const first = loans.primary();
    platform.copy();
    auto const copied_at = now_ms();
    log.line("copy of the store, revision " +
             std::to_string(platform.revision()) +
             ", duty: " + duty_of(platform));
    log.line("SIGTERM to " + name + " (planned restart)");
    restarted.signal(SIGTERM);
    for (int i = 0; i < storm_versions; ++i)
    {
        sleep_ms(storm_gap_ms);
        ++version;
        configure();
    }
    log.line("primary " + first + " reports draining (planned)");
    auto const first_at = loans.drain(first);
    if (!wait_for(4000, [&] { return loans.primary() != first; }))
    {
        log.line("the primary was not replaced in time");
        return verdict::not_run;
    }
    auto const second = loans.primary();
    log.line("replaced by " + second + ", revision " +
             std::to_string(platform.revision()) +
             ", duty: " + duty_of(platform));
    if (!wait_for(7000, [&] { return restarted.ended(); }))
    {
        restarted.kill();
    }
    auto const ended_at = now_ms();
    sleep_ms(200);
    if (trouble())
    {
        platform.go_away();
        log.line("store away");
        sleep_ms(away_ms);
        platform.come_back_from_copy();
        configure();
        log.line("store back with a copy that is " +
                 std::to_string(now_ms() - copied_at) + " ms old, revision " +
                 std::to_string(platform.revision()) +
                 ", duty: " + duty_of(platform));
    }
    sleep_ms(std::max<std::int64_t>(ended_at + restart_delay_ms - now_ms(), 0));
    restarted.start();
    log.line(name + " started again");
    sleep_ms(2500);
    log.line("primary " + second + " reports draining (planned), revision " +
             std::to_string(platform.revision()));
    loans.drain(second);
    sleep_ms(std::max<std::int64_t>(first_at + drain_ms - now_ms(), 0));
    loans.leave(first);
    log.line("member " + first + " has exited");
    for (auto& each : threads)
    {
        each.join();
    }
    bool const epochs = epochs_broken(platform, log);
    int const late = count_late_commits(loans, writers, log);
    std::string const result =
        std::to_string(platform.calls().size()) + " promotions" +
        (epochs ? ", one epoch number by two holders" : "") + ", " +
        std::to_string(late) +
        " acknowledged writes committed at a former primary";
    log.line(result);
    std::cout << result << '\n';
    if (platform.calls().empty())
    {
        return verdict::not_run;
    }
    return epochs || late > 0 ? verdict::broken : verdict::held;
}

} // namespace

int main(int count, char** values)
{
    return review::run_case(count, values, run);
}
