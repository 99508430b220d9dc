#include <algorithm>
#include <utility>

#include <camphortide/proxy/fleet_control.hpp>
#include <camphortide/transport/logging/log.hpp>

namespace camphortide::proxy
{

using platform::object_kind;
using platform::store_outcome;
using transport::log_part;

namespace
{

/// How long the store holds a watch request. A broken connection is noticed
/// only after that time, so it is well below the freshness bound of the watched
/// objects.
constexpr state::duration configuration_watch_time{1000}; ///< bound: 3 s
constexpr state::duration member_watch_time{2000};        ///< bound: 7 s
constexpr state::duration record_watch_time{1000}; ///< lease of the duty: 4 s
/// Interval between the listings that verify the records for permits: four fit
/// into the lease of a permit.
constexpr state::duration verification_interval{2500};
/// Interval between the listings of other objects, in case a watch missed a
/// change.
constexpr state::duration relist_interval{15000};
/// Large responses to other instances use one part in this many of the
/// instance's link; statements need the rest.
constexpr std::uint64_t large_response_part = 2;
/// A closing that the holder of the duty hasn't requested after this time is
/// confirmed in the store, because the holder may be unable to reach this
/// instance.
constexpr state::duration confirmation_delay{300};
/// Minimum interval between two attempts to write the own record.
constexpr state::duration min_write_interval{300};

} // namespace

fleet_control::fleet_control(boost::asio::io_context& context,
                             store_client& store,
                             platform::process_settings const& settings,
                             std::int64_t start_time)
    : m_store(store),
      m_budget(settings.m_link_bytes_per_second / large_response_part),
      m_configuration_watch(context, store, object_kind::configuration,
                            configuration_watch_time, relist_interval,
                            static_cast<std::uint64_t>(start_time), m_budget),
      m_member_watch(context, store, object_kind::members, member_watch_time,
                     relist_interval, static_cast<std::uint64_t>(start_time),
                     m_budget),
      m_record_watch(context, store, object_kind::fleet, record_watch_time,
                     verification_interval,
                     static_cast<std::uint64_t>(start_time), m_budget)
{
    m_allowance = settings.m_allowance;
    m_own_record.m_name = settings.m_name;
    m_own_record.m_start_time = start_time;
    m_own_record.m_address = settings.m_listen_peers;
    m_own_record.m_data_centre = settings.m_data_centre;
    m_own_record.m_forwarding_address = settings.m_listen_forwarded;
}

void fleet_control::start(view_handler on_view,
                          std::function<void()> on_records)
{
    m_on_view = std::move(on_view);
    m_on_records = std::move(on_records);
    m_configuration_watch.start([this](auto const& update)
                                { apply_configuration(update); },
                                status_logger("configuration"));
    m_member_watch.start([this](auto const& update) { apply_members(update); },
                         status_logger("members"));
    m_record_watch.start([this](auto const& update) { apply_records(update); },
                         status_logger("records"));
}

object_watch::status_handler fleet_control::status_logger(char const* what)
{
    return [what](store_outcome outcome, std::string const& peer)
    {
        std::string const source = peer.empty() ? "store" : peer;
        if (outcome == store_outcome::done)
        {
            transport::log_info(log_part::platform, "store updates available",
                                {{"kind", what}, {"from", source}});
            return;
        }
        transport::log_warning(log_part::platform, "store updates failing",
                               {{"kind", what},
                                {"from", source},
                                {"outcome", platform::to_string(outcome)}});
    };
}

void fleet_control::apply_configuration(object_watch::update const& update)
{
    for (auto const& object : update.m_objects)
    {
        if (object.m_name != "main" || object.m_deleted)
        {
            continue;
        }
        auto value = platform::parse_configuration(object);
        if (!value.ok())
        {
            transport::log_error(
                log_part::catalogue, "invalid configuration ignored",
                {{"revision", to_string(object.m_revision)},
                 {"cause", std::string(value.status().message())}});
            continue;
        }
        if (m_configuration && value->m_version <= m_configuration->m_version)
        {
            continue; // an older version never replaces a newer one
        }
        transport::log_info(
            log_part::catalogue, "configuration in force",
            {{"version", value->m_version},
             {"routes", value->m_routes.size()},
             {"complete", !platform::has_unreadable_values(object)},
             {"asked_ms_ago", state::clock::now() - update.m_requested_at}});
        m_configuration =
            std::make_shared<state::configuration const>(*std::move(value));
        m_homes_outdated = true;
    }
    publish_view();
}

void fleet_control::apply_records(object_watch::update const& update)
{
    auto records = update.m_snapshot ? state::fleet_records{} : m_records;
    records.m_era = update.m_revision.era();
    for (auto const& object : update.m_objects)
    {
        if (!platform::apply_object(object, records))
        {
            transport::log_warning(log_part::platform, "invalid record ignored",
                                   {{"name", object.m_name}});
        }
    }
    if (!m_records_known || records.m_era != m_records.m_era)
    {
        begin_era(records.m_era, update);
    }
    bool const changed = records != m_records;
    bool const instances_changed =
        changed && records.m_instances != m_records.m_instances;
    bool const members_changed =
        changed && records.m_members != m_records.m_members;
    m_records = std::move(records);
    if (members_changed)
    {
        m_lapsed_members.note_records(
            m_records.m_members,
            [this](std::string const& id) { return m_members.contains(id); },
            state::clock::now());
    }
    update_expelled();
    m_records_known = m_records_known || update.m_snapshot;
    if (update.m_verified)
    {
        m_records_verified_at =
            std::max(m_records_verified_at, update.m_requested_at);
    }
    if (instances_changed)
    {
        m_homes_outdated = true;
        update_source_orders();
    }
    if (changed || update.m_verified)
    {
        publish_view();
    }
    m_on_records();
}

void fleet_control::begin_era(std::uint64_t era,
                              object_watch::update const& update)
{
    // A store without eras never comes back from a copy.
    m_unregistered_permits_until =
        era == 0 ? state::time_point()
                 : state::clock::now() + coordination::permit_lease;
    if (m_records_known)
    {
        transport::log_warning(log_part::platform,
                               "the store came back from a copy",
                               {{"era", era},
                                {"previous_era", m_records.m_era},
                                {"revision", to_string(update.m_revision)},
                                {"registered", m_records.m_instances.size()},
                                {"records", update.m_objects.size()}});
    }
}

void fleet_control::read_store_directly(bool enabled)
{
    m_reads_store = enabled;
    update_source_orders();
}

void fleet_control::update_source_orders()
{
    auto const order = coordination::order_update_sources(
        m_own_record.m_name, m_records.m_instances, m_reads_store);
    for (auto* const watch :
         {&m_configuration_watch, &m_member_watch, &m_record_watch})
    {
        watch->set_order(order);
    }
}

void fleet_control::serve(update_request const& request,
                          object_watch::responder respond)
{
    switch (request.m_kind)
    {
    case object_kind::configuration:
        m_configuration_watch.serve(request, std::move(respond));
        return;
    case object_kind::members:
        m_member_watch.serve(request, std::move(respond));
        return;
    case object_kind::fleet:
        m_record_watch.serve(request, std::move(respond));
        return;
    }
}

std::vector<fleet_control::update_status>
fleet_control::update_statuses(state::time_point now) const
{
    std::vector<update_status> result;
    for (auto const& [kind, watch] :
         {std::pair("configuration", &m_configuration_watch),
          std::pair("members", &m_member_watch),
          std::pair("records", &m_record_watch)})
    {
        result.push_back(
            {kind, now - watch->last_response(), watch->statistics()});
    }
    return result;
}

void fleet_control::update_expelled()
{
    auto const now = state::clock::now();
    auto const is_expelled = [this](std::string const& name)
    {
        auto const found = m_records.m_instances.find(name);
        return found != m_records.m_instances.end() &&
               found->second.m_record.m_expelled;
    };
    std::erase_if(m_expelled,
                  [&](auto const& entry) { return !is_expelled(entry.first); });
    for (auto const& entry : m_records.m_instances)
    {
        if (entry.second.m_record.m_expelled)
        {
            m_expelled.try_emplace(entry.first, now);
        }
    }
}

bool fleet_control::registered() const
{
    auto const found = m_records.m_instances.find(m_own_record.m_name);
    return found != m_records.m_instances.end() &&
           found->second.m_record.m_start_time == m_own_record.m_start_time &&
           !found->second.m_record.m_expelled;
}

void fleet_control::register_if_due(state::time_point now)
{
    if (m_deregistering || m_writing || !m_records_known ||
        now - m_last_write < min_write_interval ||
        now - m_record_watch.last_success() >
            verification_interval + record_watch_time)
    {
        return;
    }
    if (registered() && !must_confirm_closing(now))
    {
        return;
    }
    auto const found = m_records.m_instances.find(m_own_record.m_name);
    write_own_record(found == m_records.m_instances.end()
                         ? m_invalid_own_revision
                         : found->second.m_revision);
}

void fleet_control::write_own_record(state::store_revision const& revision)
{
    m_writing = true;
    m_last_write = state::clock::now();
    m_store.send(
        platform::write_request(m_own_record, revision),
        [this](store_outcome outcome,
               std::optional<platform::http_response> const& response)
        {
            m_writing = false;
            m_invalid_own_revision =
                outcome == store_outcome::conflict
                    ? platform::invalid_record_revision(*response)
                    : state::store_revision();
            transport::log_info(
                log_part::membership, "write of own record completed",
                {{"outcome", platform::to_string(outcome)},
                 {"invalid_revision", to_string(m_invalid_own_revision)}});
        });
}

void fleet_control::acknowledge_closing(std::string const& group,
                                        state::store_revision const& revision)
{
    auto& latest = m_own_record.m_acknowledged_closings[group];
    latest = std::max(latest, revision);
}

void fleet_control::note_close_request(std::string const& group,
                                       state::store_revision const& revision)
{
    auto& latest = m_requested_closings[group];
    latest = std::max(latest, revision);
}

bool fleet_control::must_confirm_closing(state::time_point now)
{
    auto const own = m_records.m_instances.find(m_own_record.m_name);
    bool due = false;
    for (auto const& [group, term] : m_records.m_terms)
    {
        if (term.m_record.m_phase != state::term_phase::closing)
        {
            m_closing_seen.erase(group);
            continue;
        }
        auto& seen =
            m_closing_seen.try_emplace(group, std::pair(term.m_revision, now))
                .first->second;
        if (seen.first.era() != term.m_revision.era())
        {
            seen = {term.m_revision, now};
        }
        auto const acknowledged =
            m_own_record.m_acknowledged_closings.find(group);
        auto const stored_closing =
            own->second.m_record.m_acknowledged_closings.find(group);
        bool const confirmed =
            stored_closing !=
                own->second.m_record.m_acknowledged_closings.end() &&
            stored_closing->second >= seen.first;
        due = due ||
              (!confirmed && m_requested_closings[group] < seen.first &&
               acknowledged != m_own_record.m_acknowledged_closings.end() &&
               acknowledged->second >= seen.first &&
               now - seen.second >= confirmation_delay);
    }
    return due;
}

void fleet_control::deregister(std::function<void()> done)
{
    m_deregistering = true;
    auto const found = m_records.m_instances.find(m_own_record.m_name);
    if (!registered())
    {
        done();
        return;
    }
    m_store.send(
        platform::remove_request(m_own_record, found->second.m_revision),
        [done = std::move(done)](store_outcome outcome,
                                 std::optional<platform::http_response> const&)
        {
            transport::log_info(log_part::membership,
                                "removal of own record completed",
                                {{"outcome", platform::to_string(outcome)}});
            done();
        });
}

bool fleet_control::is_replaced(std::string const& name,
                                std::int64_t start_time) const
{
    auto const found = m_records.m_instances.find(name);
    return found != m_records.m_instances.end() &&
           found->second.m_record.m_start_time > start_time;
}

void fleet_control::tick(state::time_point now)
{
    remove_missing_members(now);
    register_if_due(now);
    for (auto* const watch :
         {&m_configuration_watch, &m_member_watch, &m_record_watch})
    {
        watch->tick(now);
    }
}
} // namespace camphortide::proxy
