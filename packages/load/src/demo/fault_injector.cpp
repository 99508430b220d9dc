#include <algorithm>
#include <chrono>
#include <thread>
#include <utility>
#include <variant>

#include <camphortide/coordination/fleet/stop_planner.hpp>
#include <camphortide/load/demo/fault_injector.hpp>
#include <camphortide/protocol/stop_conversion.hpp>
#include <camphortide/standin/deployment/catalogue_publisher.hpp>

namespace camphortide::load
{

namespace
{

using std::chrono::milliseconds;

constexpr run_time leaving_grace{5'000'000};
constexpr run_time max_propagation_time{5'000'000};
constexpr milliseconds pause_time{3000};
constexpr state::duration store_delay{2000};
constexpr std::uint32_t lost_replies = 10;
constexpr milliseconds max_apply_lag{2000};
constexpr milliseconds min_apply_lag{50};
/// Time to wait until a planned stop reaches its instance. After that the
/// instance is drained directly.
constexpr milliseconds drain_request_timeout{3000};
constexpr milliseconds ready_timeout{5000};
constexpr milliseconds poll_interval{10};

std::string stop_object(std::string const& id)
{
    return std::string(coordination::stop_prefix) + id;
}

/// Cancels a planned stop unless it is done. Writes to the store directly,
/// which bypasses the injected faults of the store.
void cancel_stop(standin::platform_standin& platform, std::string const& id)
{
    while (auto const object = platform.get(stop_object(id)))
    {
        auto stop =
            protocol::decode_stop_object(object->m_value, object->m_version);
        if (!stop || !state::is_in_force(*stop))
        {
            return;
        }
        stop->m_state = state::stop_state::cancelled;
        auto const written = platform.put(stop_object(id), object->m_version,
                                          protocol::encode_stop_object(*stop));
        if (std::holds_alternative<standin::object_change>(written))
        {
            return;
        }
    }
}

} // namespace

std::span<fault const> fault_injector::faults()
{
    static constexpr fault all[] = {
        {"primary-partition", "a primary is cut off from its group",
         &fault_injector::primary_partition},
        {"primary-kill", "a primary ends and comes back later",
         &fault_injector::primary_kill},
        {"replica-lag", "replicas apply 50 ms to 2 s late",
         &fault_injector::replica_lag},
        {"instance-kill", "an instance ends at once",
         &fault_injector::instance_kill},
        {"instance-pause", "an instance's control thread stops for 3 s",
         &fault_injector::instance_pause},
        {"store-down", "the platform's store refuses every call",
         &fault_injector::store_down},
        {"store-slow", "the platform's store answers after 2 s",
         &fault_injector::store_slow},
        {"store-lost-reply", "changes of the store lose their replies",
         &fault_injector::store_lost_reply},
        {"data-centre-loss", "all members and instances of a data centre end",
         &fault_injector::data_centre_loss},
        {"planned-stop", "an instance drains and a replica leaves",
         &fault_injector::planned_stop, true},
        {"catalogue-edit-race", "two operators edit one entry at a time",
         &fault_injector::catalogue_edit_race},
        {"rolling-replacement", "every instance is replaced, one by one",
         &fault_injector::rolling_replacement, true},
    };
    return all;
}

fault const* fault_injector::find(std::string_view name)
{
    auto const all = faults();
    auto const found = std::ranges::find(all, name, &fault::m_name);
    return found == all.end() ? nullptr : &*found;
}

fault_injector::fault_injector(standin::running_deployment& running,
                               run_clock now, std::uint64_t seed)
    : m_running(running),
      m_now(std::move(now)),
      m_random(seed)
{
}

fault_injector::~fault_injector()
{
    join_workers();
    m_timers.stop();
}

void fault_injector::join_workers()
{
    for (auto& worker : std::exchange(m_workers, {}))
    {
        worker.join();
    }
}

void fault_injector::apply(fault const& value)
{
    m_only_planned_faults = m_only_planned_faults && value.m_planned;
    (this->*value.m_apply)();
    ++m_applied_count;
}

void fault_injector::revert()
{
    join_workers();
    auto const undo = std::exchange(m_undo, {});
    for (auto const& each : undo)
    {
        each();
    }
}

void fault_injector::edit_catalogue()
{
    publish(make_edit());
}

void fault_injector::finish(run_observations& to)
{
    revert();
    std::scoped_lock const lock(m_mutex);
    to.m_only_planned_faults = m_only_planned_faults;
    to.m_leaving_members = m_observed.m_leaving_members;
    to.m_drains = m_observed.m_drains;
    to.m_races = m_observed.m_races;
    to.m_changes = m_observed.m_changes;
    for (auto& change : to.m_changes)
    {
        change.m_due = change.m_accepted + max_propagation_time;
        for (auto const& [from, until] : m_disruptions)
        {
            bool const meets =
                from <= change.m_due && until >= change.m_accepted;
            change.m_due =
                meets ? std::max(change.m_due, until + max_propagation_time)
                      : change.m_due;
        }
    }
}

std::vector<primary_loss> fault_injector::losses() const
{
    std::scoped_lock const lock(m_mutex);
    return m_losses;
}

std::string const& fault_injector::next_group() const
{
    auto const& groups = m_running.description().m_groups;
    return groups[m_applied_count % groups.size()].m_name;
}

std::string const& fault_injector::next_instance() const
{
    auto const& instances = m_running.description().m_instances;
    return instances[m_applied_count % instances.size()].m_name;
}

std::string fault_injector::record_primary_loss(std::string const& group)
{
    auto member = m_running.group(group).primary();
    if (!member.empty())
    {
        std::scoped_lock const lock(m_mutex);
        m_losses.push_back({group, member, m_now()});
    }
    return member;
}

void fault_injector::kill_member(std::string const& group,
                                 std::string const& member)
{
    if (!m_killed.insert(member).second)
    {
        return;
    }
    auto& server = m_running.group(group);
    server.kill(member);
    m_undo.emplace_back(
        [this, &server, member]
        {
            server.restart(member);
            m_killed.erase(member);
        });
}

void fault_injector::kill_instance(std::string const& name)
{
    if (!m_running.instance(name))
    {
        return;
    }
    m_running.kill_instance(name);
    m_undo.emplace_back([this, name] { m_running.start_instance(name); });
}

void fault_injector::record_catalogue_disruption()
{
    auto const from = m_now();
    m_undo.emplace_back([this, from]
                        { m_disruptions.emplace_back(from, m_now()); });
}

void fault_injector::primary_partition()
{
    auto const& group = next_group();
    auto const member = record_primary_loss(group);
    if (member.empty())
    {
        return;
    }
    auto& server = m_running.group(group);
    server.cut_from_members(member, true);
    m_undo.emplace_back([&server, member]
                        { server.cut_from_members(member, false); });
}

void fault_injector::primary_kill()
{
    auto const& group = next_group();
    auto const member = record_primary_loss(group);
    if (!member.empty())
    {
        kill_member(group, member);
    }
}

void fault_injector::replica_lag()
{
    for (auto const& group : m_running.description().m_groups)
    {
        auto& server = m_running.group(group.m_name);
        for (auto const& member : group.m_members)
        {
            auto const span = max_apply_lag - min_apply_lag;
            milliseconds const lag =
                min_apply_lag +
                milliseconds(m_random() %
                             static_cast<std::uint64_t>(span.count()));
            server.set_lag(member.m_name, group.m_receive_lag, lag);
            m_undo.emplace_back(
                [&server, &group, name = member.m_name] {
                    server.set_lag(name, group.m_receive_lag,
                                   group.m_apply_lag);
                });
        }
    }
}

void fault_injector::instance_kill()
{
    kill_instance(next_instance());
}

void fault_injector::instance_pause()
{
    auto const instance = m_running.instance(next_instance());
    if (!instance)
    {
        return;
    }
    record_catalogue_disruption();
    // The callback runs on the control thread and blocks it.
    instance->status([](admin::v1::StatusReply const&)
                     { std::this_thread::sleep_for(pause_time); });
}

void fault_injector::store_down()
{
    record_catalogue_disruption();
    m_running.platform().set_outage(true);
    m_undo.emplace_back([this] { m_running.platform().set_outage(false); });
}

void fault_injector::store_slow()
{
    record_catalogue_disruption();
    m_running.platform().set_delay(store_delay);
    m_undo.emplace_back(
        [this] { m_running.platform().set_delay(state::duration{0}); });
}

void fault_injector::store_lost_reply()
{
    m_running.platform().lose_replies(lost_replies);
    edit_catalogue();
}

void fault_injector::data_centre_loss()
{
    auto const& all = m_running.description();
    auto const& lost =
        all.m_data_centres[m_applied_count % all.m_data_centres.size()];
    for (auto const& group : all.m_groups)
    {
        auto const primary = m_running.group(group.m_name).primary();
        for (auto const& member : group.m_members)
        {
            if (member.m_data_centre != lost)
            {
                continue;
            }
            if (member.m_name == primary)
            {
                record_primary_loss(group.m_name);
            }
            kill_member(group.m_name, member.m_name);
        }
    }
    for (auto const& instance : all.m_instances)
    {
        if (instance.m_data_centre == lost)
        {
            kill_instance(instance.m_name);
        }
    }
}

void fault_injector::start_leaving(std::string const& group,
                                   std::string const& member)
{
    auto& server = m_running.group(group);
    server.set_leaving(member, true);
    auto const at_limit = std::make_shared<std::optional<std::uint64_t>>();
    m_timers.after(leaving_grace,
                   [this, &server, member, at_limit]
                   {
                       std::scoped_lock const lock(m_mutex);
                       *at_limit = server.statements(member);
                   });
    m_undo.emplace_back(
        [this, &server, member, at_limit]
        {
            std::scoped_lock const lock(m_mutex);
            if (*at_limit)
            {
                m_observed.m_leaving_members.push_back(
                    {member, **at_limit, server.statements(member)});
            }
            server.set_leaving(member, false);
        });
}

void fault_injector::planned_stop()
{
    auto const& described = m_running.description().m_groups;
    auto const& group = described[m_applied_count % described.size()];
    auto const primary = m_running.group(group.m_name).primary();
    auto const replica = std::ranges::find_if(
        group.m_members, [&primary](transport::deployment_member const& member)
        { return member.m_name != primary; });
    if (replica != group.m_members.end())
    {
        start_leaving(group.m_name, replica->m_name);
    }
    auto const name = next_instance();
    if (!m_running.instance(name))
    {
        return;
    }
    m_workers.emplace_back([this, name] { stop_instance(name); });
    m_undo.emplace_back([this, name] { m_running.start_instance(name); });
}

/// Plans the stop of an instance as an operator does, and stops the instance
/// when it has drained.
void fault_injector::stop_instance(std::string const& name)
{
    auto const from = m_now();
    state::planned_stop stop;
    {
        std::scoped_lock const lock(m_mutex);
        stop.m_id = "stop-" + std::to_string(++m_stops);
    }
    stop.m_kind = state::stop_kind::instance;
    stop.m_target = name;
    stop.m_operator = "operator";
    auto& platform = m_running.platform();
    platform.put(stop_object(stop.m_id), 0, protocol::encode_stop_object(stop));
    if (wait_until_drain_requested(name))
    {
        bool const clean = m_running.drain_instance(name);
        std::scoped_lock const lock(m_mutex);
        m_observed.m_drains.push_back({name, clean, from, m_now()});
    }
    cancel_stop(platform, stop.m_id);
}

/// @return false if the instance was lost in the meantime
bool fault_injector::wait_until_drain_requested(std::string const& name) const
{
    auto const end = std::chrono::steady_clock::now() + drain_request_timeout;
    while (std::chrono::steady_clock::now() < end)
    {
        auto const instance = m_running.instance(name);
        if (!instance)
        {
            return false;
        }
        if (instance->drain_requested())
        {
            return true;
        }
        std::this_thread::sleep_for(poll_interval);
    }
    return m_running.instance(name) != nullptr;
}

void fault_injector::rolling_replacement()
{
    m_workers.emplace_back([this] { replace_instances(); });
}

void fault_injector::replace_instances()
{
    for (auto const& described : m_running.description().m_instances)
    {
        if (!m_running.instance(described.m_name))
        {
            continue;
        }
        stop_instance(described.m_name);
        m_running.start_instance(described.m_name);
        auto const end = std::chrono::steady_clock::now() + ready_timeout;
        while (std::chrono::steady_clock::now() < end)
        {
            auto const started = m_running.instance(described.m_name);
            if (started && started->ready())
            {
                break;
            }
            std::this_thread::sleep_for(poll_interval);
        }
    }
}

void fault_injector::catalogue_edit_race()
{
    auto first = make_edit();
    auto second = first;
    second.m_id += "-other";
    second.m_entries.front().m_after->m_limits.m_weight += 1;
    bool accepted[2] = {false, false};
    std::thread other([&] { accepted[1] = publish(second); });
    accepted[0] = publish(first);
    other.join();
    std::scoped_lock const lock(m_mutex);
    m_observed.m_races.push_back({first.m_entries.front().m_name,
                                  static_cast<std::uint32_t>(accepted[0]) +
                                      static_cast<std::uint32_t>(accepted[1])});
}

std::shared_ptr<state::catalogue const> fault_injector::newest_catalogue() const
{
    std::shared_ptr<state::catalogue const> newest;
    for (auto const& name : m_running.running())
    {
        auto const instance = m_running.instance(name);
        auto const value = instance ? instance->catalogue() : nullptr;
        if (value && (!newest || value->version() > newest->version()))
        {
            newest = value;
        }
    }
    return newest;
}

coordination::catalogue_change fault_injector::make_edit()
{
    coordination::catalogue_change change;
    change.m_id = "edit-" + std::to_string(++m_edits);
    change.m_operator = "operator";
    auto const catalogue = newest_catalogue();
    if (!catalogue || catalogue->entries().empty())
    {
        return change;
    }
    auto const& entries = catalogue->entries();
    auto const& before = entries[m_edits % entries.size()];
    auto after = before;
    after.m_limits.m_queue_length += 1;
    change.m_entries.push_back({before.m_name, before, after});
    return change;
}

bool fault_injector::publish(coordination::catalogue_change const& change)
{
    if (change.m_entries.empty())
    {
        return false;
    }
    auto const result = standin::publish_change(m_running.platform(), change);
    if (result.m_outcome != coordination::edit_outcome::accepted)
    {
        return false;
    }
    std::scoped_lock const lock(m_mutex);
    m_observed.m_changes.push_back({result.m_version, m_now(), run_time{0}});
    return true;
}

} // namespace camphortide::load
