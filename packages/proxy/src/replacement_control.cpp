#include "group_control.hpp"

#include <algorithm>
#include <utility>

#include <camphortide/coordination/primary/fencing_token.hpp>
#include <camphortide/proxy/replacement_control.hpp>
#include <camphortide/transport/logging/log.hpp>

namespace camphortide::proxy
{

using platform::store_outcome;
using transport::log_part;

namespace
{

/// Interval between the report requests to a primary; one that doesn't respond
/// for 700 ms is lost.
constexpr state::duration primary_interval{200};
constexpr state::duration closing_interval{40};
/// Interval between attempts to connect to a member without an entry, which may
/// have ended.
constexpr state::duration lapsed_opening_interval{500};
/// Interval between the pings of one instance. It grows with the fleet, so that
/// the holder sends at most 50 pings per second.
constexpr state::duration ping_interval{1000};
constexpr state::duration ping_interval_per_instance{20};
/// An instance that doesn't respond for longer than this after a ping was due
/// is expelled and gets no new permits. Its permits then lapse before a primary
/// is lost, and not while the replacement waits for them.
constexpr state::duration response_timeout{2000};
/// Pause before an instance that has registered again but still doesn't respond
/// to the holder is expelled again.
constexpr state::duration expel_cooldown{20000};
constexpr state::duration min_removal_interval{1000};
/// A longer gap between two ticks means that this process was suspended.
constexpr state::duration max_tick_interval{400};
/// Minimum interval between two attempts to create a group's record.
constexpr state::duration min_creation_interval{300};
/// A promotion request that was given up mustn't arrive after a later one.
constexpr connection_settings promotion_connection{
    coordination::promotion_call_lifetime, true};

std::string_view to_string(coordination::choice_obstacle obstacle)
{
    switch (obstacle)
    {
    case coordination::choice_obstacle::no_report:
        return "no_report";
    case coordination::choice_obstacle::missing_reports:
        return "missing_reports";
    case coordination::choice_obstacle::discarded_commits:
        return "discarded_commits";
    case coordination::choice_obstacle::none:
        break;
    }
    return "none";
}

coordination::duty_lease_settings lease_settings_for(double processor_share)
{
    coordination::duty_lease_settings settings;
    settings.m_hesitation = coordination::duty_hesitation(processor_share);
    return settings;
}

} // namespace

replacement_control::replacement_control(
    boost::asio::io_context& context, store_client& store, fleet_control& fleet,
    platform::process_settings const& settings, close_handler close_primary)
    : m_context(context),
      m_store(store),
      m_fleet(fleet),
      m_member_records(store, fleet),
      m_promotion_client(std::make_shared<http_client>(
          context, settings.m_promotion_address, promotion_connection)),
      m_close_primary(std::move(close_primary)),
      m_lease(fleet.name(), fleet.start_time(),
              lease_settings_for(settings.m_processor_share))
{
    m_replacement_settings.m_max_log_wait = settings.m_max_log_wait;
}

replacement_control::~replacement_control() = default;

void replacement_control::set_promotion_address(std::string const& address)
{
    m_promotion_client->set_address(address);
}

bool replacement_control::holds_duty() const
{
    return m_lease.holds(state::clock::now());
}

void replacement_control::records_changed()
{
    auto const now = state::clock::now();
    auto const& duty = m_fleet.records().m_duty;
    bool const holder_ended = duty && !duty->m_record.m_holder.empty() &&
                              m_fleet.is_replaced(duty->m_record.m_holder,
                                                  duty->m_record.m_start_time);
    m_lease.note_store(m_fleet.records().m_era, highest_token());
    m_lease.observe(duty, holder_ended, now);
    if (m_fleet.records().m_era != 0 &&
        now >= m_fleet.unregistered_permits_until())
    {
        m_lease.note_earlier_permits_lapsed();
    }
    tick(now);
}

std::uint64_t replacement_control::highest_token() const
{
    std::uint64_t highest = 0;
    for (auto const& entry : m_fleet.records().m_terms)
    {
        highest = std::max(highest, entry.second.m_record.m_token);
    }
    return highest;
}

void replacement_control::tick(state::time_point now)
{
    if (m_releasing)
    {
        release_if_settled(now);
        return;
    }
    step_lease(now);
    bool const holds = m_lease.holds(now);
    if (holds != m_held_duty)
    {
        m_held_duty = holds;
        m_fleet.read_store_directly(holds);
        transport::log_info(log_part::group,
                            holds ? "duty taken" : "duty ended",
                            {{"token", m_lease.token()}});
    }
    if (holds && m_held_token != m_lease.token())
    {
        m_held_token = m_lease.token();
        m_groups.clear();
        m_contacts.clear();
        m_member_records.begin();
        m_fleet.lapsed_members().begin_asking(now);
    }
    if (now - m_last_tick > max_tick_interval)
    {
        // Responses that arrived while the process was suspended haven't been
        // read yet.
        m_contacts.clear();
    }
    m_last_tick = now;
    auto const configuration = m_fleet.configuration();
    if (!holds || !configuration)
    {
        return;
    }
    for (auto const& entry : configuration->m_groups)
    {
        step_group(entry.first, now);
    }
    ping_instances(now);
    remove_expelled(now);
}

void replacement_control::ping_instances(state::time_point now)
{
    auto const& instances = m_fleet.records().m_instances;
    std::erase_if(m_contacts, [&](auto const& entry)
                  { return !instances.contains(entry.first); });
    auto const interval = std::max(
        ping_interval, ping_interval_per_instance *
                           static_cast<state::duration::rep>(instances.size()));
    for (auto const& [name, stored] : instances)
    {
        if (name == m_fleet.name() || stored.m_record.m_expelled)
        {
            m_contacts.erase(name);
            continue;
        }
        auto& contact_times =
            m_contacts.try_emplace(name, contact{now, now}).first->second;
        if (now - contact_times.m_responded_at >= interval + response_timeout)
        {
            expel(name);
            contact_times.m_responded_at = now + expel_cooldown;
        }
        else if (now - contact_times.m_requested_at >= interval)
        {
            contact_times.m_requested_at = now;
            ping(name, stored.m_record.m_address);
        }
    }
}

void replacement_control::step_lease(state::time_point now)
{
    auto const write = m_lease.step(now);
    if (!write)
    {
        return;
    }
    m_store.send(platform::write_request(write->m_record, write->m_revision),
                 [this](store_outcome outcome,
                        std::optional<platform::http_response> const& answer)
                 {
                     auto const revision =
                         outcome == store_outcome::done
                             ? platform::parse_written_revision(*answer)
                             : std::nullopt;
                     m_lease.write_finished(revision, state::clock::now());
                     if (outcome != store_outcome::done &&
                         outcome != store_outcome::conflict)
                     {
                         transport::log_warning(
                             log_part::group, "write of the duty record failed",
                             {{"outcome", platform::to_string(outcome)}});
                     }
                 });
}

std::uint32_t
replacement_control::sync_replicas_of(std::string const& name) const
{
    auto const configuration = m_fleet.configuration();
    auto const limits = configuration->m_groups.find(name);
    return limits == configuration->m_groups.end()
               ? 0
               : limits->second.m_sync_replicas;
}

std::map<std::string, state::member_entry>
replacement_control::members_to_ask(std::string const& name) const
{
    std::map<std::string, state::member_entry> result;
    for (auto const& [id, entry] : m_fleet.members())
    {
        if (entry.m_group == name)
        {
            result.emplace(id, entry);
        }
    }
    if (sync_replicas_of(name) > 0)
    {
        for (auto const& entry : m_fleet.lapsed_members().entries(name))
        {
            result.emplace(entry.m_id, entry);
        }
    }
    return result;
}

std::unique_ptr<member_monitor>
replacement_control::make_monitor(std::string const& name, group_control& group,
                                  state::member_entry const& member)
{
    member_monitor::handlers on;
    on.m_report =
        [this, name, id = member.m_id](state::member_report const& report,
                                       state::time_point requested_at)
    {
        auto& known_member = m_groups.at(name)->m_members[id];
        known_member.m_report = report;
        known_member.m_requested_at = requested_at;
    };
    on.m_answer = [this, &group, id = member.m_id]
    {
        auto const now = state::clock::now();
        m_fleet.lapsed_members().note_answer(id, now);
        if (id == group.m_watched_member)
        {
            group.m_watch.note_answer(now);
        }
    };
    on.m_refusal = [&group, id = member.m_id]
    {
        if (id == group.m_watched_member)
        {
            group.m_watch.note_refusal(state::clock::now());
        }
    };
    on.m_ended = [this, id = member.m_id]
    {
        m_fleet.lapsed_members().note_ended(id, state::clock::now());
    };
    return std::make_unique<member_monitor>(m_context, member, std::move(on));
}

void replacement_control::poll_members(std::string const& name,
                                       group_control& group,
                                       state::time_point now)
{
    auto const members = members_to_ask(name);
    std::erase_if(group.m_members,
                  [&](auto const& entry)
                  {
                      auto const found = members.find(entry.first);
                      return found == members.end() ||
                             found->second.m_address !=
                                 entry.second.m_monitor->member().m_address;
                  });
    auto const record = m_fleet.records().m_terms.find(name);
    bool const known = record != m_fleet.records().m_terms.end();
    bool const settled =
        known && record->second.m_record.m_phase == state::term_phase::open &&
        coordination::is_of_current_era(record->second);
    for (auto const& [id, entry] : members)
    {
        auto& member = group.m_members[id];
        if (!member.m_monitor)
        {
            member.m_monitor = make_monitor(name, group, entry);
        }
        bool const leads = known && record->second.m_record.m_primary == id;
        member_monitor::intervals between{!settled ? closing_interval
                                          : leads  ? primary_interval
                                                   : replica_interval};
        if (!m_fleet.members().contains(id))
        {
            between.m_openings = lapsed_opening_interval;
        }
        member.m_monitor->tick(between, now);
    }
}

void replacement_control::step_group(std::string const& name,
                                     state::time_point now)
{
    auto& control = m_groups[name];
    if (!control)
    {
        control = std::make_unique<group_control>(m_replacement_settings);
    }
    auto& group = *control;
    poll_members(name, group, now);
    auto const record = m_fleet.records().m_terms.find(name);
    if (record == m_fleet.records().m_terms.end())
    {
        create_record(name, group);
        return;
    }
    auto const facts = collect_facts(name, group, now);
    for (auto const& action : group.m_replacement.step(facts))
    {
        execute(name, action, facts.m_record.m_revision);
    }
    log_obstacle(group, facts);
}

void replacement_control::log_obstacle(
    group_control& group, coordination::replacement_facts const& facts)
{
    auto const obstacle = group.m_replacement.obstacle();
    auto const lapsed = std::ranges::count(
        facts.m_members, false, &coordination::reported_member::m_registered);
    if (obstacle != group.m_obstacle &&
        obstacle != coordination::choice_obstacle::none)
    {
        transport::log_warning(log_part::group, "no primary chosen",
                               {{"group", facts.m_record.m_record.m_group},
                                {"cause", to_string(obstacle)},
                                {"term", facts.m_record.m_record.m_term},
                                {"members", facts.m_members.size()},
                                {"lapsed", lapsed},
                                {"sync_replicas", facts.m_sync_replicas}});
    }
    group.m_obstacle = obstacle;
}

void replacement_control::create_record(std::string const& name,
                                        group_control& group)
{
    auto const now = state::clock::now();
    if (now - group.m_last_creation < min_creation_interval)
    {
        return;
    }
    state::term_record record;
    record.m_group = name;
    record.m_token = m_lease.token();
    for (auto const& [id, member] : group.m_members)
    {
        if (member.m_report && member.m_report->m_primary &&
            member.m_report->m_term >= record.m_term)
        {
            record.m_term = member.m_report->m_term;
            record.m_primary = id;
            record.m_history = state::term_history().continued(
                member.m_report->m_received, state::term(record.m_term));
        }
    }
    if (!record.m_primary.empty())
    {
        group.m_last_creation = now;
        write_record(name, record, {});
    }
}
void replacement_control::remove_expelled(state::time_point now)
{
    if (now - m_last_removal < min_removal_interval)
    {
        return;
    }
    for (auto const& [name, since] : m_fleet.expelled())
    {
        auto const found = m_fleet.records().m_instances.find(name);
        // Before that it may still hold a permit verified before it was
        // expelled.
        if (now - since >= coordination::permit_lease &&
            found != m_fleet.records().m_instances.end())
        {
            m_last_removal = now;
            m_store.send(
                platform::remove_request(found->second.m_record,
                                         found->second.m_revision),
                [](store_outcome, std::optional<platform::http_response> const&)
                {
                    // The watch of the records shows the result.
                });
        }
    }
}

void replacement_control::note_report(unreachable_report const& report)
{
    auto const found = m_groups.find(report.m_group);
    if (found != m_groups.end() &&
        found->second->m_watched_member == report.m_member)
    {
        found->second->m_watch.note_report(report.m_instance,
                                           state::clock::now());
    }
}

void replacement_control::release_duty(std::function<void()> done)
{
    m_releasing = true;
    m_on_release = std::move(done);
    release_if_settled(state::clock::now());
}

void replacement_control::release_if_settled(state::time_point now)
{
    bool const settled =
        m_promotion_calls.settled(now) && now >= m_lease.earlier_calls_until();
    if (!m_on_release || !settled)
    {
        return;
    }
    auto const done = std::exchange(m_on_release, nullptr);
    auto const write = m_lease.release();
    if (!write)
    {
        done();
        return;
    }
    m_store.send(platform::write_request(write->m_record, write->m_revision),
                 [done](store_outcome outcome,
                        std::optional<platform::http_response> const&)
                 {
                     transport::log_info(
                         log_part::group, "duty released",
                         {{"outcome", platform::to_string(outcome)}});
                     done();
                 });
}

} // namespace camphortide::proxy
