#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <camphortide/coordination/limits/share_manager.hpp>

namespace coordination = camphortide::coordination;
namespace state = camphortide::state;

namespace
{

constexpr std::int64_t duration_ms = 3600000;
constexpr std::int64_t step_ms = 250;
constexpr std::int64_t demand_period_ms = 30000;
constexpr std::int64_t members = 3;
constexpr std::int64_t entries = 4;

/// The ledger in the store, with counts of the calls to it.
struct counted_store
{
    coordination::share_ledger m_ledger;
    std::uint64_t m_version = 0;
    std::int64_t m_reads = 0;
    std::int64_t m_writes = 0;
    std::int64_t m_conflicts = 0;
};

state::time_point at(std::int64_t ms)
{
    return state::time_point(state::duration(ms));
}

std::string numbered_name(std::string name, std::int64_t number)
{
    name.append(std::to_string(number));
    return name;
}

std::vector<coordination::share_limit> limits()
{
    using coordination::share_kind;
    std::vector<coordination::share_limit> result;
    for (std::int64_t i = 0; i < members; ++i)
    {
        result.push_back(
            {{share_kind::connections, numbered_name("m", i)}, 55});
    }
    for (std::int64_t i = 0; i < entries; ++i)
    {
        auto const name = numbered_name("entry", i);
        result.push_back({{share_kind::concurrency, name}, 20});
        result.push_back({{share_kind::rate, name}, 200000});
    }
    return result;
}

void execute_call(coordination::share_manager& manager,
                  coordination::ledger_call const& call, counted_store& store,
                  state::time_point now)
{
    if (!call.m_write)
    {
        store.m_reads += 1;
        manager.read_done(call.m_number, store.m_ledger, store.m_version, now);
        return;
    }
    store.m_writes += 1;
    if (call.m_if_version != store.m_version)
    {
        store.m_conflicts += 1;
        manager.write_conflict(call.m_number, now);
        return;
    }
    store.m_ledger = call.m_ledger;
    store.m_version += 1;
    manager.write_done(call.m_number, store.m_version, now);
}

void change_demand(coordination::share_manager& manager,
                   std::mt19937_64& engine)
{
    for (auto const& limit : limits())
    {
        auto const percent = static_cast<std::int64_t>(engine() % 100);
        manager.set_demand(limit.m_key, {limit.m_limit * percent / 100, 0});
    }
}

void run(int homes, bool demand_changes)
{
    counted_store store;
    std::mt19937_64 engine(1);
    std::vector<std::unique_ptr<coordination::share_manager>> managers;
    for (int i = 0; i < homes; ++i)
    {
        managers.push_back(std::make_unique<coordination::share_manager>(
            coordination::holder_id{numbered_name("home", i), 1},
            coordination::share_timing{}, static_cast<double>(i) / homes));
        managers.back()->set_limits(1, limits());
        change_demand(*managers.back(), engine);
    }
    for (std::int64_t now = 0; now < duration_ms; now += step_ms)
    {
        for (auto const& manager : managers)
        {
            manager->set_contact(at(now));
            if (demand_changes && now % demand_period_ms == 0)
            {
                change_demand(*manager, engine);
            }
            if (auto const call = manager->step(at(now)))
            {
                execute_call(*manager, *call, store, at(now));
            }
        }
    }
    constexpr double seconds = duration_ms / 1000.0;
    std::printf("%d homes, demand %s: %.3f reads/s, %.4f writes/s, "
                "%.4f conflicts/s for a group\n",
                homes, demand_changes ? "new every 30 s" : "steady       ",
                static_cast<double>(store.m_reads) / seconds,
                static_cast<double>(store.m_writes) / seconds,
                static_cast<double>(store.m_conflicts) / seconds);
}

} // namespace

int main()
{
    for (int const homes : {2, 3, 8})
    {
        run(homes, false);
        run(homes, true);
    }
    return 0;
}
