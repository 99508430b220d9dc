// Prints how long a group has no usable primary after the loss of its primary,
// and how often a working primary is replaced under disturbances, for several
// settings of failure detection. Group monitors and member models run on a
// manual clock with a one-way message latency of 1 ms.
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <random>
#include <vector>

#include <camphortide/standin/model/manual_clock_group.hpp>

namespace coordination = camphortide::coordination;
namespace state = camphortide::state;
using camphortide::standin::manual_clock_group;

namespace
{

constexpr std::size_t members = 3;
constexpr state::duration max_wait{17'000};

struct detector_setting
{
    char const* m_name;
    state::clock::rep m_suspicion;
    state::clock::rep m_probe_interval;
    state::clock::rep m_jitter;
    std::size_t m_homes;
};

constexpr detector_setting detector_settings[] = {
    {"suspicion 200", 200, 100, 100, 2}, {"suspicion 400", 400, 100, 100, 2},
    {"default", 500, 100, 100, 2},       {"suspicion 800", 800, 100, 100, 2},
    {"probe 250", 500, 250, 100, 2},     {"one home", 500, 100, 100, 1},
    {"eight homes", 500, 100, 100, 8},   {"no jitter", 500, 100, 0, 2},
    {"eight, no jitter", 500, 100, 0, 8}};

coordination::group_settings to_group_settings(detector_setting const& value)
{
    coordination::group_settings result;
    result.m_suspicion = state::duration(value.m_suspicion);
    result.m_isolation = 3 * result.m_suspicion;
    result.m_probe_interval = state::duration(value.m_probe_interval);
    result.m_jitter = state::duration(value.m_jitter);
    return result;
}

bool has_safe_primary_after(manual_clock_group& group, std::size_t homes,
                            state::term term)
{
    for (std::size_t home = 0; home < homes; ++home)
    {
        auto const& monitor = group.monitor(home);
        if (monitor.primary() && monitor.primary()->m_term > term &&
            monitor.safe_index() > 0)
        {
            return true;
        }
    }
    return false;
}

struct loss_results
{
    std::vector<state::clock::rep> m_gaps;
    std::uint64_t m_promotions = 0;
};

loss_results measure_losses(detector_setting const& value, std::size_t count,
                            bool unresponsive)
{
    loss_results result;
    std::mt19937_64 engine(count);
    manual_clock_group group(members, value.m_homes, 1,
                             to_group_settings(value));
    group.run_until([&] { return group.monitors_agree(); }, max_wait);
    auto const before = group.promotions();
    for (std::size_t loss = 0; loss < count; ++loss)
    {
        group.run(state::duration(
            2000 + static_cast<state::clock::rep>(engine() % 200)));
        auto const current_primary = group.current_primary();
        if (!current_primary)
        {
            break;
        }
        auto const term = group.member(*current_primary).followed();
        auto const lost_at = group.now();
        group.kill(*current_primary, unresponsive);
        group.run_until(
            [&] { return has_safe_primary_after(group, value.m_homes, term); },
            max_wait);
        result.m_gaps.push_back((group.now() - lost_at).count());
        group.start(*current_primary);
    }
    result.m_promotions = group.promotions() - before;
    std::ranges::sort(result.m_gaps);
    return result;
}

void print_losses(detector_setting const& value, std::size_t count,
                  bool unresponsive)
{
    auto const results = measure_losses(value, count, unresponsive);
    auto const& gaps = results.m_gaps;
    std::printf("%-18s %6lld %6lld %6lld %6lld %9.2f\n", value.m_name,
                static_cast<long long>(gaps.front()),
                static_cast<long long>(gaps[gaps.size() / 2]),
                static_cast<long long>(gaps[gaps.size() * 99 / 100]),
                static_cast<long long>(gaps.back()),
                static_cast<double>(results.m_promotions) /
                    static_cast<double>(gaps.size()));
}

/// Pauses a home for up to 2 s while messages take up to 250 ms.
void disturb_homes(manual_clock_group& group, std::size_t homes,
                   std::mt19937_64& engine, state::clock::rep)
{
    auto const home = engine() % homes;
    group.m_latency =
        state::duration(1 + static_cast<state::clock::rep>(engine() % 250));
    group.pause(home, true);
    group.run(
        state::duration(20 + static_cast<state::clock::rep>(engine() % 2000)));
    group.pause(home, false);
    group.m_latency = state::duration(1);
    group.run(state::duration(300));
}

/// Cuts the primary off from all members and homes for a while, as a stall
/// under load would.
void stall_primary(manual_clock_group& group, std::size_t homes,
                   std::mt19937_64& engine, state::clock::rep stall)
{
    auto const current_primary = group.current_primary().value_or(0);
    auto const set_cut = [&](bool cut)
    {
        for (std::size_t member = 0; member < members; ++member)
        {
            if (member != current_primary)
            {
                group.cut_members(current_primary, member, cut);
            }
        }
        for (std::size_t home = 0; home < homes; ++home)
        {
            group.cut_monitor(home, current_primary, cut);
        }
    };
    set_cut(true);
    group.run(state::duration(stall));
    set_cut(false);
    group.run(
        state::duration(1000 + static_cast<state::clock::rep>(engine() % 100)));
}

using disturbance = void (*)(manual_clock_group&, std::size_t, std::mt19937_64&,
                             state::clock::rep);

std::uint64_t count_false_promotions(detector_setting const& value,
                                     std::size_t count, disturbance disturb,
                                     state::clock::rep stall)
{
    std::mt19937_64 engine(count);
    manual_clock_group group(members, value.m_homes, 1,
                             to_group_settings(value));
    group.run_until([&] { return group.monitors_agree(); }, max_wait);
    group.run(state::duration(1000));
    auto const before = group.promotions();
    for (std::size_t round = 0; round < count; ++round)
    {
        disturb(group, value.m_homes, engine, stall);
    }
    return group.promotions() - before;
}

} // namespace

int main(int argument_count, char** arguments)
{
    std::size_t const count =
        argument_count > 1 ? static_cast<std::size_t>(std::atol(arguments[1]))
                           : 300;
    for (bool const unresponsive : {false, true})
    {
        std::printf("gap in ms, %zu losses, connections %s\n", count,
                    unresponsive ? "stay silent" : "break");
        std::printf("%-18s %6s %6s %6s %6s %9s\n", "settings", "min", "median",
                    "p99", "max", "tries");
        for (auto const& value : detector_settings)
        {
            print_losses(value, count, unresponsive);
        }
    }
    std::printf("promotions although the primary leads, %zu rounds\n", count);
    std::printf("%-18s %8s %8s %8s %8s %8s\n", "settings", "homes", "150 ms",
                "250 ms", "450 ms", "600 ms");
    for (auto const& value : detector_settings)
    {
        std::printf("%-18s %8llu", value.m_name,
                    static_cast<unsigned long long>(count_false_promotions(
                        value, count, disturb_homes, 0)));
        for (state::clock::rep const stall : {150, 250, 450, 600})
        {
            std::printf(" %8llu",
                        static_cast<unsigned long long>(count_false_promotions(
                            value, count, stall_primary, stall)));
        }
        std::printf("\n");
    }
    return 0;
}
