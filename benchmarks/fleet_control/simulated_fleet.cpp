#include "simulated_fleet.hpp"

#include <stdexcept>
#include <utility>

#include <camphortide/state/catalogue_entry_builder.hpp>

namespace coordination = camphortide::coordination;
namespace state = camphortide::state;

namespace
{

constexpr std::uint32_t initial_rate = 100;
constexpr std::size_t initial_changes = 128; ///< fill the history of the head
constexpr char const* changed_class = "desk";
constexpr state::duration tick_interval{100};
constexpr state::duration start_interval{20};
constexpr state::duration latency_in_region{1};
constexpr state::duration latency_between_regions{20};

std::string address(std::size_t index)
{
    return "10.1." + std::to_string(index / 250) + "." +
           std::to_string(index % 250) + ":7400";
}

std::size_t index_of(std::string const& address_text)
{
    auto const first = address_text.find('.', 3) + 1;
    auto const second = address_text.find('.', first) + 1;
    return std::stoul(address_text.substr(first)) * 250 +
           std::stoul(address_text.substr(second));
}

std::string group_name(std::size_t index)
{
    return "database-" + std::to_string(index);
}

state::group_description group(std::size_t index)
{
    state::group_description result;
    result.m_name = group_name(index);
    for (std::size_t member = 0; member < 3; ++member)
    {
        auto const number = std::to_string(member);
        result.m_members.push_back(
            {"member-" + number,
             "10.2." + number + "." + std::to_string(index % 250) + ":5432",
             "data-centre-" + number});
    }
    result.m_connection_limit = 55;
    result.m_slots = 5;
    return result;
}

state::catalogue_entry entry(std::string const& group_text,
                             std::string const& class_text, std::uint32_t rate)
{
    state::entry_limits limits;
    limits.m_rate = rate;
    return state::catalogue_entry_builder(group_text + "." + class_text)
        .customer("customer-" + group_text)
        .class_name(class_text)
        .group(group_text)
        .credential_hash(std::string(64, 'a'))
        .limits(limits)
        .build();
}

coordination::catalogue_change initial_catalogue_change(std::size_t databases,
                                                        std::uint32_t rate)
{
    coordination::catalogue_change change{"first", "operator", {}, {}};
    for (std::size_t index = 0; index < databases; ++index)
    {
        auto const name = group_name(index);
        change.m_groups.push_back({name, {}, group(index)});
        for (std::string const class_name : {"desk", "listing", "report"})
        {
            auto value = entry(name, class_name, rate);
            change.m_entries.push_back({value.m_name, {}, value});
        }
    }
    return change;
}

} // namespace

simulated_fleet::simulated_fleet(std::size_t nodes, std::size_t databases,
                                 std::uint64_t seed)
    : m_seed(seed),
      m_database_count(databases)
{
    m_store.edit(initial_catalogue_change(databases, initial_rate));
    m_version = 1;
    for (std::size_t count = 0; count < initial_changes; ++count)
    {
        change_catalogue();
    }
    for (std::size_t index = 0; index < nodes; ++index)
    {
        start(index);
        run(start_interval);
    }
}

std::string simulated_fleet::name(std::size_t index)
{
    return "instance-" + std::to_string(index);
}

void simulated_fleet::start(std::size_t index)
{
    state::instance_record self;
    self.m_name = name(index);
    self.m_data_centre = "data-centre-" + std::to_string(data_centre_of(index));
    self.m_address = address(index);
    self.m_incarnation =
        static_cast<std::uint64_t>(m_now.time_since_epoch().count());
    std::vector<std::string> seeds;
    if (!m_nodes.empty())
    {
        seeds = {address(m_nodes.begin()->first),
                 address(m_nodes.rbegin()->first)};
    }
    m_nodes[index] = std::make_unique<simulated_node>(
        self, seeds, m_seed * 100'003 + ++m_starts * 7, m_now,
        [this, index](std::string const& to, std::string bytes)
        { send(index, to, std::move(bytes)); },
        [this, index](store_call const& call) { call_store(index, call); });
    m_start_numbers[index] = m_starts;
    schedule_tick(index, m_starts);
}

void simulated_fleet::kill(std::size_t index)
{
    m_nodes.erase(index);
    m_watchers.erase(index);
}

void simulated_fleet::schedule_tick(std::size_t index, std::uint64_t start)
{
    schedule(tick_interval,
             [this, index, start]
             {
                 auto const found = m_nodes.find(index);
                 if (found == m_nodes.end() ||
                     m_start_numbers.at(index) != start)
                 {
                     return;
                 }
                 found->second->tick(m_now);
                 schedule_tick(index, start);
             });
}

void simulated_fleet::schedule(duration delay, std::function<void()> run)
{
    m_events.push({m_now + delay, ++m_number, std::move(run)});
}

void simulated_fleet::step_to(time_point end)
{
    while (!m_events.empty() && m_events.top().m_at <= end)
    {
        auto const next = m_events.top();
        m_events.pop();
        m_now = next.m_at;
        next.m_run();
    }
    m_now = end;
}

void simulated_fleet::run(duration time)
{
    step_to(m_now + time);
}

simulated_fleet::duration
simulated_fleet::run_until(std::function<bool()> const& condition,
                           duration limit, duration step)
{
    auto const start = m_now;
    while (!condition() && m_now - start < limit)
    {
        run(step);
    }
    return m_now - start;
}

void simulated_fleet::send(std::size_t from, std::string const& to,
                           std::string bytes)
{
    auto const target = index_of(to);
    bool const crosses_regions =
        is_in_remote_region(from) != is_in_remote_region(target);
    if (crosses_regions && m_regions_partitioned)
    {
        return;
    }
    schedule(crosses_regions ? latency_between_regions : latency_in_region,
             [this, target, bytes = std::move(bytes)]
             {
                 auto const found = m_nodes.find(target);
                 if (found != m_nodes.end())
                 {
                     found->second->receive(bytes, m_now);
                 }
             });
}

bool simulated_fleet::can_reach_store(std::size_t index) const
{
    return m_store_up && !(m_regions_partitioned && is_in_remote_region(index));
}

void simulated_fleet::call_store(std::size_t from, store_call const& call)
{
    schedule(m_store_delay, [this, from, call] { complete_call(from, call); });
}

void simulated_fleet::complete_call(std::size_t to, store_call const& call)
{
    auto const found = m_nodes.find(to);
    if (found == m_nodes.end())
    {
        return;
    }
    auto& node = *found->second;
    if (!can_reach_store(to))
    {
        m_watchers.erase(to);
        node.on_store_failure(m_now);
        return;
    }
    switch (call.m_kind)
    {
    case store_call::kind::watch:
        m_watchers.insert(to);
        break;
    case store_call::kind::end_watch:
        m_watchers.erase(to);
        break;
    case store_call::kind::head:
        node.on_head(m_store.head(), m_now);
        break;
    case store_call::kind::chunk:
        node.on_chunk(call.m_chunk, m_store.chunk(call.m_chunk), m_now);
        break;
    case store_call::kind::stops:
        node.on_stops(m_version, m_now);
        break;
    }
}

void simulated_fleet::change_catalogue()
{
    auto const group_text = group_name(m_version % m_database_count);
    auto& rate = m_rates.emplace(group_text, initial_rate).first->second;
    auto const before = entry(group_text, changed_class, rate);
    auto const after = entry(group_text, changed_class, ++rate);
    coordination::catalogue_change const change{
        "00000000-0000-4000-8000-" + std::to_string(1'000'000 + m_version),
        "operator",
        {{before.m_name, before, after}},
        {}};
    if (m_store.edit(change) != coordination::edit_outcome::accepted)
    {
        throw std::logic_error("the change was not accepted");
    }
    ++m_version;
    for (std::size_t const watcher : m_watchers)
    {
        if (!m_watch_events_lost && can_reach_store(watcher))
        {
            call_store(watcher, {store_call::kind::head, {}});
        }
    }
}

bool simulated_fleet::all_up_to_date(
    std::function<bool(std::size_t)> const& included) const
{
    for (auto const& [index, node] : m_nodes)
    {
        if ((!included || included(index)) &&
            node->follower().version() != m_version)
        {
            return false;
        }
    }
    return true;
}

void simulated_fleet::reset_counts()
{
    for (auto const& [index, node] : m_nodes)
    {
        node->counts() = {};
    }
}
