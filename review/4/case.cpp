// One entry of another writer has a field of another type: deeply nested
// lists. The platform starts processes again that ended.

#include "../standin/main.hpp"

namespace
{

using namespace review;

constexpr std::int64_t restart_delay_ms = 500;
constexpr std::int64_t observed_ms = 20000;
/// 800,000 bytes; an object may hold 1,048,576 (valueBytes).
constexpr std::size_t depth = 400000;
/// "end by themselves three times in the day".
constexpr int counted_ends = 3;

std::string foreign_entry()
{
    return R"({"service":"other","slots":)" + std::string(depth, '[') +
           std::string(depth, ']') + '}';
}

struct watched_instance
{
    std::unique_ptr<instance> m_instance;
    int m_ends = 0;
    std::int64_t m_ended_at = 0;
};

/// Counts the processes that ended and starts them again, as the platform does.
void supervise(std::vector<watched_instance>& all, std::int64_t until,
               record& log)
{
    while (now_ms() < until)
    {
        for (auto& each : all)
        {
            if (each.m_instance->running() && each.m_instance->ended())
            {
                ++each.m_ends;
                each.m_ended_at = now_ms();
                auto const status = each.m_instance->status();
                log.line(
                    each.m_instance->name() + " ended by itself, " +
                    (WIFSIGNALED(status)
                         ? "signal " + std::to_string(WTERMSIG(status))
                         : "status " + std::to_string(WEXITSTATUS(status))));
            }
            if (!each.m_instance->running() &&
                now_ms() >= each.m_ended_at + restart_delay_ms)
            {
                each.m_instance->start();
                log.line(each.m_instance->name() + " started again");
            }
        }
        sleep_ms(10);
    }
}

/// @return true if a write is answered with success
bool serves(watched_instance const& each, std::string const& id, record& log)
{
    caller session(each.m_instance->front(), "desk");
    auto const result = session.query(id, "STORE a " + id, 3000);
    log.line("sent " + id + " to " + each.m_instance->name() + " -> " +
             result.text());
    return result.ok();
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
    platform.put("config", "main",
                 configuration(1, {{"desk", settings.m_name}}, settings));
    std::vector<watched_instance> all(2);
    int number = 0;
    for (auto& each : all)
    {
        each.m_instance = std::make_unique<instance>(
            program, scratch.path(), "edge-" + std::to_string(++number),
            platform);
        each.m_instance->start();
    }
    for (auto const& each : all)
    {
        if (!each.m_instance->wait_ready(15000))
        {
            return verdict::not_run;
        }
    }
    sleep_ms(3000);
    if (!serves(all[0], "before-1", log) || !serves(all[1], "before-2", log))
    {
        return verdict::not_run;
    }
    if (trouble())
    {
        auto const entry = foreign_entry();
        log.line("entry of another writer, " + std::to_string(entry.size()) +
                 " bytes, lists nested " + std::to_string(depth) + " deep");
        platform.put("servers", "i-other", entry);
    }
    supervise(all, now_ms() + observed_ms, log);
    serves(all[0], "after-1", log);
    serves(all[1], "after-2", log);
    bool broken = true;
    for (auto const& each : all)
    {
        broken = broken && each.m_ends >= counted_ends;
        log.line(each.m_instance->name() + " ended by itself " +
                 std::to_string(each.m_ends) + " times");
        std::cout << each.m_instance->name() << " ended by itself "
                  << each.m_ends << " times\n";
    }
    return broken ? verdict::broken : verdict::held;
}

} // namespace

int main(int count, char** values)
{
    return review::run_case(count, values, run);
}
