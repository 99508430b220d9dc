#include "control_fleet.hpp"

#include <stdexcept>
#include <utility>

#include <camphortide/state/catalogue_entry_builder.hpp>

namespace coordination = camphortide::coordination;
namespace state = camphortide::state;

namespace
{

constexpr std::uint32_t first_rate = 100;
constexpr std::size_t earlier_changes = 128; ///< fill the head's history
constexpr char const* changed_class = "desk";
constexpr state::duration tick_interval{100};
constexpr state::duration start_interval{20};
constexpr state::duration near_latency{1};
constexpr state::duration far_latency{20};

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
        .owner("owner-of-" + group_text)
        .class_name(class_text)
        .group(group_text)
        .credential_hash(std::string(64, 'a'))
        .limits(limits)
        .build();
}

coordination::catalogue_change whole_catalogue(std::size_t databases,
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

control_fleet::control_fleet(std::size_t nodes, std::size_t databases,
                             std::uint64_t seed)
    : m_seed(seed),
      m_databases(databases)
{
    m_store.edit(whole_catalogue(databases, first_rate));
    m_version = 1;
    for (std::size_t count = 0; count < earlier_changes; ++count)
    {
        change_catalogue();
    }
    for (std::size_t index = 0; index < nodes; ++index)
    {
        start(index);
        run(start_interval);
    }
}

std::string control_fleet::name(std::size_t index)
{
    return "instance-" + std::to_string(index);
}

void control_fleet::start(std::size_t index)
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
    m_nodes[index] = std::make_unique<control_node>(
        self, seeds, m_seed * 100'003 + ++m_starts * 7, m_now,
        [this, index](std::string const& to, std::string bytes)
        { send(index, to, std::move(bytes)); },
        [this, index](store_call const& made) { call(index, made); });
    m_started[index] = m_starts;
    schedule_tick(index, m_starts);
}

void control_fleet::kill(std::size_t index)
{
    m_nodes.erase(index);
    m_watching.erase(index);
}

void control_fleet::schedule_tick(std::size_t index, std::uint64_t start)
{
    later(tick_interval,
          [this, index, start]
          {
              auto const place = m_nodes.find(index);
              if (place == m_nodes.end() || m_started.at(index) != start)
              {
                  return;
              }
              place->second->tick(m_now);
              schedule_tick(index, start);
          });
}

void control_fleet::later(duration delay, std::function<void()> run)
{
    m_events.push({m_now + delay, ++m_number, std::move(run)});
}

void control_fleet::step_to(time_point end)
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

void control_fleet::run(duration time)
{
    step_to(m_now + time);
}

control_fleet::duration
control_fleet::run_until(std::function<bool()> const& condition, duration limit,
                         duration step)
{
    auto const start = m_now;
    while (!condition() && m_now - start < limit)
    {
        run(step);
    }
    return m_now - start;
}

void control_fleet::send(std::size_t from, std::string const& to,
                         std::string bytes)
{
    auto const target = index_of(to);
    bool const crosses = is_far(from) != is_far(target);
    if (crosses && m_regions_apart)
    {
        return;
    }
    later(crosses ? far_latency : near_latency,
          [this, target, bytes = std::move(bytes)]
          {
              auto const place = m_nodes.find(target);
              if (place != m_nodes.end())
              {
                  place->second->receive(bytes, m_now);
              }
          });
}

bool control_fleet::reaches_store(std::size_t index) const
{
    return m_store_up && !(m_regions_apart && is_far(index));
}

void control_fleet::call(std::size_t from, store_call const& made)
{
    later(m_store_delay, [this, from, made] { answer(from, made); });
}

void control_fleet::answer(std::size_t to, store_call const& made)
{
    auto const place = m_nodes.find(to);
    if (place == m_nodes.end())
    {
        return;
    }
    auto& node = *place->second;
    if (!reaches_store(to))
    {
        m_watching.erase(to);
        node.take_failure(m_now);
        return;
    }
    switch (made.m_kind)
    {
    case store_call::kind::watch:
        m_watching.insert(to);
        break;
    case store_call::kind::end_watch:
        m_watching.erase(to);
        break;
    case store_call::kind::head:
        node.take_head(m_store.head(), m_now);
        break;
    case store_call::kind::chunk:
        node.take_chunk(made.m_chunk, m_store.chunk(made.m_chunk), m_now);
        break;
    case store_call::kind::stops:
        node.take_stops(m_version, m_now);
        break;
    }
}

void control_fleet::change_catalogue()
{
    auto const group_text = group_name(m_version % m_databases);
    auto& rate = m_rates.emplace(group_text, first_rate).first->second;
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
    for (std::size_t const watcher : m_watching)
    {
        if (!m_watches_mute && reaches_store(watcher))
        {
            call(watcher, {store_call::kind::head, {}});
        }
    }
}

bool control_fleet::all_up_to_date(
    std::function<bool(std::size_t)> const& wanted) const
{
    for (auto const& [index, node] : m_nodes)
    {
        if ((!wanted || wanted(index)) &&
            node->follower().version() != m_version)
        {
            return false;
        }
    }
    return true;
}

void control_fleet::reset_counts()
{
    for (auto const& [index, node] : m_nodes)
    {
        node->counts() = {};
    }
}
