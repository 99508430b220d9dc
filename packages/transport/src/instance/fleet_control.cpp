#include <utility>

#include <camphortide/coordination/fleet/rendezvous.hpp>
#include <camphortide/protocol/catalogue_conversion.hpp>
#include <camphortide/protocol/peer_conversion.hpp>
#include <camphortide/protocol/stop_conversion.hpp>
#include <camphortide/transport/instance/fleet_control.hpp>

namespace camphortide::transport
{

namespace
{

/// Time that an instance takes to end, in addition to its drain time.
constexpr state::duration leave_margin{5000};

home_settings make_home_settings(instance_settings const& settings,
                                 gateway_policy const& policy,
                                 std::uint64_t incarnation)
{
    home_settings result;
    result.m_self = settings.m_name;
    result.m_incarnation = incarnation;
    result.m_homes_per_group =
        settings.m_homes_per_group.value_or(coordination::home_table::all);
    result.m_max_leave_time = settings.m_drain_time + leave_margin;
    result.m_group.m_probe_interval = settings.m_probe_interval;
    result.m_group.m_suspicion = settings.m_suspicion_timeout;
    result.m_policy = policy;
    result.m_members_authority = settings.m_tls_members_authority;
    return result;
}

coordination::membership make_membership(instance_settings const& settings,
                                         std::uint64_t incarnation)
{
    coordination::membership_settings result;
    result.m_interval = settings.m_heartbeat_interval;
    result.m_max_observed = settings.m_heartbeat_fanout;
    result.m_answer_timeout = settings.m_peer_timeout;
    result.m_suspicion_timeout = settings.m_peer_timeout;
    state::instance_record self;
    self.m_name = settings.m_name;
    self.m_data_centre = settings.m_data_centre;
    self.m_address = settings.peer_address();
    self.m_incarnation = incarnation;
    return {result, self, settings.m_seed_peers,
            coordination::hash_name(settings.m_name) ^ incarnation,
            state::clock::now()};
}

coordination::catalogue_follower_settings
catalogue_settings(instance_settings const& settings)
{
    coordination::catalogue_follower_settings result;
    result.m_watchers = settings.m_catalogue_watchers;
    return result;
}

} // namespace

fleet_control::fleet_control(instance_settings const& settings,
                             gateway_policy const& policy,
                             std::uint64_t incarnation, home_registry& registry,
                             peer_exchange& exchange, platform_client* platform,
                             std::shared_ptr<control_loop> const& loop,
                             handlers event_handlers)
    : m_self(settings.m_name),
      m_watchers(settings.m_catalogue_watchers),
      m_handlers(std::move(event_handlers)),
      m_homes(make_home_settings(settings, policy, incarnation), registry,
              exchange, platform, loop),
      m_catalogue(catalogue_settings(settings), settings.m_name, incarnation,
                  exchange, platform, *loop,
                  [this](std::shared_ptr<state::catalogue const> value)
                  {
                      m_homes.on_catalogue(value);
                      m_handlers.m_on_catalogue(std::move(value));
                  }),
      m_stops(settings.m_name, incarnation, exchange, platform, *loop),
      m_membership(make_membership(settings, incarnation), exchange, platform,
                   *loop, [this](auto const& view) { on_view(view); })
{
}

void fleet_control::tick(state::time_point now)
{
    coordination::held_versions held;
    held.m_catalogue = m_catalogue.follower().version();
    held.m_stops = m_stops.list().m_version;
    held.m_confirmed_age = m_catalogue.follower().confirmed_age(now);
    m_membership.membership().set_held_versions(held);
    m_membership.tick(now, m_catalogue.follower().is_watcher());
    m_catalogue.tick(now);
    if (m_reported_watcher != m_catalogue.follower().is_watcher())
    {
        update_stop_control(m_membership.membership().view());
    }
    m_stops.tick(now);
    auto const& members = m_membership.membership();
    m_homes.set_contact(members.last_majority_contact(now),
                        members.joined() || members.is_only_listed_instance());
    m_homes.tick(now);
    apply_stop_plan(now);
}

void fleet_control::on_view(std::vector<state::instance_record> const& view)
{
    bool const joined = m_membership.membership().joined() || view.size() > 1;
    m_homes.on_view(view);
    m_catalogue.on_view(view, joined);
    update_stop_control(view);
    for (auto const& record : view)
    {
        auto& last_state = m_states[record.m_name];
        bool const gone = record.m_state == state::instance_state::gone;
        if (gone && last_state != state::instance_state::gone)
        {
            m_handlers.m_on_instance_gone(record.m_name);
        }
        last_state = record.m_state;
    }
}

void fleet_control::update_stop_control(
    std::vector<state::instance_record> const& view)
{
    m_reported_watcher = m_catalogue.follower().is_watcher();
    auto const watchers = coordination::choose_watchers(view, m_watchers);
    m_stops.on_view(view, m_reported_watcher, watchers.size());
}

void fleet_control::apply_stop_plan(state::time_point now)
{
    if (!m_homes.catalogue() || m_stops.list().m_stops.empty())
    {
        return;
    }
    auto const members = m_homes.observations();
    auto const plan = coordination::plan_stops(
        {m_stops.list().m_stops, *m_homes.catalogue(), m_homes.table(), m_self,
         members, m_handlers.m_is_idle() && m_homes.idle()});
    m_homes.apply(plan, now);
    m_stops.report(plan.m_reports);
    if (plan.m_drain_self)
    {
        m_handlers.m_on_drain_requested();
    }
}

void fleet_control::on_heartbeat(peer::v1::Envelope const& envelope)
{
    auto const message = protocol::heartbeat_from(envelope);
    if (!message)
    {
        return;
    }
    m_membership.on_heartbeat(*message);
    coordination::catalogue_offer offer;
    offer.m_version = message->m_held.m_catalogue;
    offer.m_confirmed_age = message->m_held.m_confirmed_age;
    m_catalogue.on_offer(envelope.sender(), offer);
    m_stops.on_peer_version(envelope.sender(), message->m_held.m_stops);
}

void fleet_control::on_message(peer_route const&,
                               peer::v1::Envelope const& envelope)
{
    auto const& sender = envelope.sender();
    switch (envelope.message_case())
    {
    case peer::v1::Envelope::kHeartbeat:
        on_heartbeat(envelope);
        return;
    case peer::v1::Envelope::kCatalogueOffer:
        m_catalogue.on_offer(sender,
                             protocol::from_proto(envelope.catalogue_offer()));
        return;
    case peer::v1::Envelope::kCatalogueRequest:
        m_catalogue.on_request(
            sender, protocol::from_proto(envelope.catalogue_request()));
        return;
    case peer::v1::Envelope::kCatalogueChunks:
        m_catalogue.on_parts(sender,
                             protocol::from_proto(envelope.catalogue_chunks()));
        return;
    case peer::v1::Envelope::kStopsRequest:
        m_stops.on_request(sender);
        return;
    case peer::v1::Envelope::kStopList:
        m_stops.on_stops(protocol::from_proto(envelope.stop_list()));
        return;
    case peer::v1::Envelope::kWritePause:
        m_homes.write_pauses().on_pause(sender, envelope.write_pause());
        return;
    case peer::v1::Envelope::kWritePaused:
        m_homes.write_pauses().on_paused(sender, envelope.write_paused());
        return;
    case peer::v1::Envelope::kWriteResume:
        m_homes.write_pauses().on_resume(sender, envelope.write_resume());
        return;
    default:
        return;
    }
}

} // namespace camphortide::transport
