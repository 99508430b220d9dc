// Planned stop of an instance whose callers keep using their open sessions.

#include "../standin/main.hpp"

namespace
{

using namespace review;

constexpr int callers = 24;
constexpr std::int64_t drain_grace_ms = 6000; // graceS
constexpr std::int64_t late_start_ms = 3000;  // of the excuse in LOST
constexpr std::int64_t pause_ms = 2;          // between two statements
constexpr std::int64_t statement_ms = 800;    // timeoutMs of the route
constexpr std::int64_t before_stop_ms = 6000; // above stableWindowMs

struct statement
{
    std::string m_id;
    std::int64_t m_sent = 0;
    std::int64_t m_ended = 0;
    answer m_answer;
};

/// A caller that uses its session until it ends, with short pauses.
class busy_caller
{
public:
    busy_caller(int number, std::uint16_t port, record& log)
        : m_number(number),
          m_session(port, "desk"),
          m_log(log)
    {
    }

    bool open() const { return m_session.open(); }

    void run(std::int64_t until)
    {
        while (m_session.open() && now_ms() < until)
        {
            statement each;
            each.m_id = "c" + std::to_string(m_number) + "-" +
                        std::to_string(m_statements.size());
            auto const item = std::to_string(m_number);
            auto const text = m_statements.size() % 5 == 0
                                  ? "STORE " + item + " " + each.m_id
                                  : "FETCH " + item;
            each.m_sent = now_ms();
            each.m_answer = m_session.query(each.m_id, text, 4000);
            each.m_ended = now_ms();
            m_log.line("sent " + std::to_string(each.m_sent) + " " + each.m_id +
                       " " + text + " -> " + each.m_answer.text());
            m_statements.push_back(each);
            sleep_ms(pause_ms);
        }
    }

    std::vector<statement> const& statements() const { return m_statements; }

private:
    int m_number;
    caller m_session;
    record& m_log;
    std::vector<statement> m_statements;
};

verdict check(std::vector<std::unique_ptr<busy_caller>> const& all,
              group const& members, std::int64_t stopped_at, record& log)
{
    std::set<std::string> passed_on;
    for (auto const& each : members.received())
    {
        passed_on.insert(each.m_id);
        log.line("received " + std::to_string(each.m_at) + " " + each.m_member +
                 " " + each.m_id + " " + each.m_text);
    }
    for (auto const& each : members.runs())
    {
        log.line("ran " + std::to_string(each.m_at) + " " + each.m_member +
                 " " + each.m_id + " " + each.m_text);
    }
    int lost = 0;
    std::size_t answered = 0;
    for (auto const& each : all)
    {
        for (auto const& sent : each->statements())
        {
            answered += sent.m_answer.ok() ? 1 : 0;
            auto const at = sent.m_sent - stopped_at;
            // Sent around the stop, within its time, and passed on to a member.
            bool const counts =
                !sent.m_answer.m_whole && at >= 0 &&
                at <= drain_grace_ms + 1000 && passed_on.contains(sent.m_id) &&
                sent.m_ended - sent.m_sent < statement_ms * 7 / 10;
            // A member may be at work at the end of the grace period on what
            // was sent in the first three seconds.
            if (counts && at > late_start_ms)
            {
                ++lost;
                log.line("lost " + sent.m_id + ", sent " + std::to_string(at) +
                         " ms after SIGTERM, ended after " +
                         std::to_string(sent.m_ended - sent.m_sent) +
                         " ms: " + sent.m_answer.text());
            }
        }
    }
    log.line("answered " + std::to_string(answered) + ", lost " +
             std::to_string(lost));
    std::cout << "answered " << answered << ", lost " << lost << '\n';
    if (answered < 200)
    {
        return verdict::not_run;
    }
    return lost > 0 ? verdict::broken : verdict::held;
}

verdict run(std::string const& program, std::string const& folder)
{
    record log(folder + "/record.txt");
    scratch_folder scratch;
    group* members = nullptr;
    store platform([&](std::string const&, std::string const& id)
                   { return members->promote(id); });
    group_settings settings;
    settings.m_work_ms = 22; // of the kind catalogo-consulta
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
    std::vector<std::unique_ptr<busy_caller>> all;
    for (int i = 0; i < callers; ++i)
    {
        all.push_back(std::make_unique<busy_caller>(i, first.front(), log));
        if (!all.back()->open())
        {
            return verdict::not_run;
        }
    }
    auto const until = now_ms() + before_stop_ms + drain_grace_ms + 2000;
    std::vector<std::thread> threads;
    threads.reserve(all.size());
    for (auto const& each : all)
    {
        threads.emplace_back([&each, until] { each->run(until); });
    }
    sleep_ms(before_stop_ms);
    auto const stopped_at = now_ms();
    if (trouble())
    {
        log.line("SIGTERM to " + first.name());
        first.signal(SIGTERM);
        while (!first.ended() && now_ms() < stopped_at + drain_grace_ms)
        {
            sleep_ms(5);
        }
        log.line(first.running() ? "SIGKILL after the grace period"
                                 : first.name() + " has ended");
        if (first.running())
        {
            first.kill();
        }
    }
    for (auto& each : threads)
    {
        each.join();
    }
    return check(all, loans, stopped_at, log);
}

} // namespace

int main(int count, char** values)
{
    return review::run_case(count, values, run);
}
