#include "control_fleet.hpp"

#include <algorithm>
#include <cstdio>
#include <iostream>
#include <string>
#include <vector>

#include <boost/program_options.hpp>
#include <malloc.h>

#include <camphortide/coordination/fleet/home_table.hpp>

namespace coordination = camphortide::coordination;
namespace options = boost::program_options;
namespace state = camphortide::state;
using state::duration;

namespace
{

constexpr duration settling{60'000};
constexpr duration long_settling{180'000}; ///< until all news is passed on
constexpr duration window{98'000};         ///< one change of 880 a day
constexpr duration limit{300'000};
constexpr duration fine_step{10};
constexpr duration coarse_step{50};
constexpr double kilobyte = 1000;

struct sizes
{
    std::vector<std::size_t> m_nodes;
    std::vector<std::size_t> m_databases;
    std::size_t m_repeats = 0;
};

double seconds(duration value)
{
    return static_cast<double>(value.count()) / 1000;
}

std::size_t allocated()
{
    auto const info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

void print_spread(char const* name, std::vector<duration> values)
{
    std::ranges::sort(values);
    std::printf("| %s | %.2f | %.2f | %.2f |\n", name, seconds(values.front()),
                seconds(values[values.size() / 2]), seconds(values.back()));
    std::fflush(stdout);
}

struct totals
{
    double m_bytes = 0;
    double m_most_bytes = 0;
    double m_messages = 0;
    double m_calls = 0;
    double m_store_bytes = 0;
    double m_cpu = 0;
    double m_most_cpu = 0;
};

totals sum_up(control_fleet const& fleet)
{
    totals result;
    for (auto const& [index, node] : fleet.nodes())
    {
        auto const& counts = node->counts();
        auto const bytes =
            static_cast<double>(counts.m_bytes_sent + counts.m_bytes_received +
                                counts.m_store_bytes);
        result.m_bytes += bytes;
        result.m_most_bytes = std::max(result.m_most_bytes, bytes);
        result.m_messages += static_cast<double>(counts.m_messages_sent);
        result.m_calls += static_cast<double>(counts.m_store_calls);
        result.m_store_bytes += static_cast<double>(counts.m_store_bytes);
        result.m_cpu += counts.m_cpu_seconds;
        result.m_most_cpu = std::max(result.m_most_cpu, counts.m_cpu_seconds);
    }
    return result;
}

/// @return how many live instances the smallest view has
std::size_t least_seen_live(control_fleet const& fleet)
{
    std::size_t least = fleet.nodes().size();
    for (auto const& [index, node] : fleet.nodes())
    {
        auto const view = node->members().view();
        auto const live =
            std::ranges::count_if(view, [](state::instance_record const& record)
                                  { return state::is_live(record.m_state); });
        least = std::min(least, static_cast<std::size_t>(live));
    }
    return least;
}

void measure_cost(std::size_t nodes, std::size_t databases)
{
    auto const before = allocated();
    control_fleet fleet(nodes, databases, 1);
    fleet.run(long_settling);
    auto const held = allocated() - before;
    fleet.reset_counts();
    auto const least_seen = least_seen_live(fleet);
    fleet.run(window / 2);
    fleet.change_catalogue();
    fleet.run(window / 2);
    auto const sum = sum_up(fleet);
    double const count = static_cast<double>(nodes);
    double const time = seconds(window);
    std::printf("| %zu | %zu | %.2f | %.2f | %.1f | %.2f | %zu | %.4f | %.4f | "
                "%.0f | %.0f | %.1f | %zu |\n",
                nodes, databases, sum.m_bytes / count / time / kilobyte,
                sum.m_most_bytes / time / kilobyte,
                sum.m_messages / count / time, sum.m_calls / time,
                fleet.watches(), 100 * sum.m_cpu / count / time,
                100 * sum.m_most_cpu / time,
                static_cast<double>(held) / count / kilobyte,
                static_cast<double>(fleet.store().chunk_bytes()) / kilobyte,
                static_cast<double>(fleet.store().head().size()) / kilobyte,
                least_seen);
    std::fflush(stdout);
}

void measure_costs(sizes const& wanted)
{
    std::printf("\n## Cost of one node\n\n"
                "| nodes | databases | KB/s mean | KB/s most | messages/s | "
                "store calls/s, all | watches, all | CPU %% mean | CPU %% most "
                "| memory KB | catalogue KB | head KB | least seen live |\n"
                "|---|---|---|---|---|---|---|---|---|---|---|---|---|\n");
    for (std::size_t const databases : wanted.m_databases)
    {
        for (std::size_t const nodes : wanted.m_nodes)
        {
            measure_cost(nodes, databases);
        }
    }
}

struct propagation_case
{
    char const* m_name;
    void (*m_prepare)(control_fleet&);
    void (*m_after)(control_fleet&);
    bool (*m_counts)(std::size_t);
};

bool everyone(std::size_t)
{
    return true;
}
bool near_region(std::size_t index)
{
    return !control_fleet::is_far(index);
}
void nothing(control_fleet&) {}

constexpr duration outage{120'000};

void measure_propagation(std::size_t nodes, sizes const& wanted)
{
    static constexpr propagation_case cases[]{
        {"healthy", nothing, nothing, everyone},
        {"store answers after 3 s",
         [](control_fleet& fleet)
         {
             fleet.m_store_delay = duration(3000);
             fleet.run(duration(20'000));
         },
         nothing, everyone},
        {"all watches lost silently",
         [](control_fleet& fleet) { fleet.m_watches_mute = true; }, nothing,
         everyone},
        {"change as the store is back after 120 s",
         [](control_fleet& fleet)
         {
             fleet.m_store_up = false;
             fleet.run(outage);
             fleet.m_store_up = true;
         },
         nothing, everyone},
        {"regions apart: the side with the store",
         [](control_fleet& fleet)
         {
             fleet.m_regions_apart = true;
             fleet.run(outage);
         },
         nothing, near_region},
        {"regions together again after 120 s: the other side",
         [](control_fleet& fleet)
         {
             fleet.m_regions_apart = true;
             fleet.run(outage);
         },
         [](control_fleet& fleet)
         {
             fleet.run(duration(10'000));
             fleet.m_regions_apart = false;
         },
         everyone},
    };
    std::printf("\n## From acceptance to in force everywhere, %zu nodes, 910 "
                "databases\n\n| case | least s | median s | most s |\n"
                "|---|---|---|---|\n",
                nodes);
    for (auto const& measured : cases)
    {
        std::vector<duration> times;
        for (std::size_t seed = 1; seed <= wanted.m_repeats; ++seed)
        {
            control_fleet fleet(nodes, 910, seed);
            fleet.run(settling);
            measured.m_prepare(fleet);
            fleet.change_catalogue();
            measured.m_after(fleet);
            times.push_back(fleet.run_until(
                [&] { return fleet.all_up_to_date(measured.m_counts); }, limit,
                fine_step));
        }
        print_spread(measured.m_name, times);
    }
}

state::instance_state seen(control_node const& node, std::string const& whom)
{
    for (auto const& record : node.members().view())
    {
        if (record.m_name == whom)
        {
            return record.m_state;
        }
    }
    return state::instance_state::gone;
}

/// @return true if every node sees each of some others live or not
bool all_see(control_fleet const& fleet, std::vector<std::size_t> const& whom,
             bool live)
{
    for (auto const& [index, node] : fleet.nodes())
    {
        auto const view = node->members().view();
        for (std::size_t const subject : whom)
        {
            auto const place =
                std::ranges::find(view, control_fleet::name(subject),
                                  &state::instance_record::m_name);
            bool const is_live =
                place != view.end() && state::is_live(place->m_state);
            if (is_live != live)
            {
                return false;
            }
        }
    }
    return true;
}

duration detect_death(control_fleet& fleet)
{
    auto const victim = fleet.nodes().size() / 2;
    fleet.kill(victim);
    return fleet.run_until([&] { return all_see(fleet, {victim}, false); },
                           limit, coarse_step);
}

duration suspect_death(control_fleet& fleet)
{
    auto const victim = fleet.nodes().size() / 2;
    fleet.kill(victim);
    return fleet.run_until(
        [&]
        {
            return std::ranges::any_of(
                fleet.nodes(),
                [&](auto const& item)
                {
                    return seen(*item.second, control_fleet::name(victim)) ==
                           state::instance_state::suspected;
                });
        },
        limit, coarse_step);
}

duration learn_leaving(control_fleet& fleet)
{
    auto const leaving = fleet.nodes().size() / 2;
    fleet.at(leaving).leave(fleet.now());
    return fleet.run_until([&] { return all_see(fleet, {leaving}, false); },
                           limit, coarse_step);
}

duration learn_newcomer(control_fleet& fleet)
{
    auto const added = fleet.nodes().rbegin()->first + 1;
    fleet.start(added);
    return fleet.run_until([&] { return all_see(fleet, {added}, true); }, limit,
                           coarse_step);
}

duration newcomer_ready(control_fleet& fleet)
{
    auto const added = fleet.nodes().rbegin()->first + 1;
    fleet.m_store_up = false;
    fleet.run(duration(10'000));
    fleet.start(added);
    return fleet.run_until([&] { return fleet.at(added).follower().ready(); },
                           limit, coarse_step);
}

duration lose_data_centre(control_fleet& fleet)
{
    std::vector<std::size_t> lost;
    for (auto const& [index, node] : fleet.nodes())
    {
        if (control_fleet::data_centre_of(index) == 1)
        {
            lost.push_back(index);
        }
    }
    for (std::size_t const index : lost)
    {
        fleet.kill(index);
    }
    return fleet.run_until([&] { return all_see(fleet, lost, false); }, limit,
                           coarse_step);
}

duration join_regions(control_fleet& fleet)
{
    std::vector<std::size_t> all;
    for (auto const& [index, node] : fleet.nodes())
    {
        all.push_back(index);
    }
    fleet.m_regions_apart = true;
    fleet.run(outage);
    fleet.reset_counts();
    fleet.m_regions_apart = false;
    return fleet.run_until([&] { return all_see(fleet, all, true); }, limit,
                           coarse_step);
}

void measure_membership(std::size_t nodes, sizes const& wanted)
{
    struct membership_case
    {
        char const* m_name;
        duration (*m_measure)(control_fleet&);
    };
    static constexpr membership_case cases[]{
        {"death: first suspicion", suspect_death},
        {"death: gone everywhere", detect_death},
        {"explicit leaving known everywhere", learn_leaving},
        {"newcomer known everywhere", learn_newcomer},
        {"newcomer ready while the store is down", newcomer_ready},
        {"a data centre lost: all gone everywhere", lose_data_centre},
        {"regions apart for 120 s: all live again everywhere", join_regions},
    };
    std::printf("\n## Membership, %zu nodes\n\n"
                "| event | least s | median s | most s |\n|---|---|---|---|\n",
                nodes);
    double most = 0;
    for (auto const& measured : cases)
    {
        std::vector<duration> times;
        for (std::size_t seed = 1; seed <= wanted.m_repeats; ++seed)
        {
            control_fleet fleet(nodes, 10, seed);
            fleet.run(long_settling);
            fleet.reset_counts();
            times.push_back(measured.m_measure(fleet));
            if (measured.m_measure == join_regions)
            {
                most = std::max(most, sum_up(fleet).m_most_bytes /
                                          seconds(times.back()) / kilobyte);
            }
        }
        print_spread(measured.m_name, times);
    }
    std::printf("\nMost of one node while the regions join: %.2f KB/s\n", most);
}

void measure_movement(std::size_t nodes)
{
    std::vector<state::instance_record> view;
    for (std::size_t index = 0; index < nodes + 1; ++index)
    {
        state::instance_record record;
        record.m_name = control_fleet::name(index);
        record.m_data_centre =
            "data-centre-" +
            std::to_string(control_fleet::data_centre_of(index));
        view.push_back(record);
    }
    std::vector<std::string> groups;
    for (std::size_t index = 0; index < 910; ++index)
    {
        groups.push_back("database-" + std::to_string(index));
    }
    auto newcomer = view.back();
    view.pop_back();
    coordination::home_table const before(view, 2);
    auto const print = [&](char const* name, double share,
                           std::vector<state::instance_record> const& changed)
    {
        coordination::home_table const after(changed, 2);
        auto const movement =
            coordination::count_movement(before, after, groups);
        std::printf("| %zu | %s | %.2f | %.2f |\n", nodes, name, 100 * share,
                    100 * static_cast<double>(movement.m_moved) /
                        static_cast<double>(movement.m_homes));
    };
    double const count = static_cast<double>(nodes);
    auto changed = view;
    changed.erase(changed.begin() + static_cast<std::ptrdiff_t>(nodes / 2));
    print("one lost", 1 / count, changed);
    changed = view;
    changed.push_back(newcomer);
    print("one added", 1 / (count + 1), changed);
    changed = view;
    std::erase_if(changed, [](state::instance_record const& record)
                  { return record.m_data_centre == "data-centre-1"; });
    print("a data centre lost", 1 - static_cast<double>(changed.size()) / count,
          changed);
}

void measure_movements(sizes const& wanted)
{
    std::printf("\n## Homes that move, two homes a group, 910 groups\n\n"
                "| nodes | change | share of the instances %% | homes moved %% "
                "|\n|---|---|---|---|\n");
    for (std::size_t const nodes : wanted.m_nodes)
    {
        measure_movement(nodes);
    }
}

} // namespace

int main(int argc, char** argv)
{
    sizes wanted;
    std::vector<std::string> parts;
    options::options_description description("fleet_control");
    description.add_options()("help", "prints this")(
        "nodes",
        options::value(&wanted.m_nodes)
            ->multitoken()
            ->default_value({8, 50, 100, 200, 400, 500}, "8 50 ... 500"),
        "sizes of the fleet")("databases",
                              options::value(&wanted.m_databases)
                                  ->multitoken()
                                  ->default_value({10, 910}, "10 910"),
                              "sizes of the catalogue")(
        "repeats", options::value(&wanted.m_repeats)->default_value(5),
        "runs of each timed case")(
        "parts",
        options::value(&parts)->multitoken()->default_value(
            {"cost", "propagation", "membership", "homes"}, "all"),
        "cost, propagation, membership, homes");
    options::variables_map given;
    options::store(options::parse_command_line(argc, argv, description), given);
    options::notify(given);
    if (given.count("help") > 0)
    {
        std::cout << description << "\n";
        return 0;
    }
    auto const wants = [&parts](char const* part)
    {
        return std::ranges::find(parts, part) != parts.end();
    };
    if (wants("homes"))
    {
        measure_movements(wanted);
    }
    if (wants("cost"))
    {
        measure_costs(wanted);
    }
    if (wants("membership"))
    {
        measure_membership(wanted.m_nodes.back(), wanted);
    }
    if (wants("propagation"))
    {
        measure_propagation(wanted.m_nodes.back(), wanted);
    }
    return 0;
}
