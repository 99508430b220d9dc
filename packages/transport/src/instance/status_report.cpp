#include <camphortide/transport/instance/status_report.hpp>

namespace camphortide::transport
{

namespace
{

admin::v1::InstanceState to_proto(state::instance_state value)
{
    switch (value)
    {
    case state::instance_state::live:
        return admin::v1::INSTANCE_STATE_LIVE;
    case state::instance_state::suspected:
        return admin::v1::INSTANCE_STATE_SUSPECTED;
    case state::instance_state::gone:
        return admin::v1::INSTANCE_STATE_GONE;
    case state::instance_state::leaving:
        return admin::v1::INSTANCE_STATE_LEAVING;
    }
    return admin::v1::INSTANCE_STATE_UNSPECIFIED;
}

admin::v1::MemberRole to_proto(state::member_role value)
{
    switch (value)
    {
    case state::member_role::primary:
        return admin::v1::MEMBER_ROLE_PRIMARY;
    case state::member_role::replica:
        return admin::v1::MEMBER_ROLE_REPLICA;
    case state::member_role::fenced:
        return admin::v1::MEMBER_ROLE_FENCED;
    case state::member_role::unknown:
        break;
    }
    return admin::v1::MEMBER_ROLE_UNSPECIFIED;
}

void fill(admin::v1::MemberStatus& message, member_report const& value,
          std::uint64_t last_index)
{
    auto const& status = value.m_status;
    message.set_name(status.m_member);
    message.set_role(to_proto(status.m_role));
    message.set_reachable(value.m_reachable);
    message.set_leaving(status.m_leaving);
    message.set_granted_term(status.m_granted.value());
    message.set_received_index(status.m_received.m_index);
    message.set_applied_index(status.m_applied.m_index);
    auto const applied = status.m_applied.m_index;
    message.set_lag_records(last_index > applied ? last_index - applied : 0);
    message.set_connections(status.m_connections);
    message.set_connection_limit(status.m_connection_limit);
    message.set_connection_budget(value.m_budget);
    message.set_connections_idle(value.m_idle);
    message.set_connections_busy(value.m_busy);
    message.set_slots(status.m_slots);
}

void fill(admin::v1::GroupStatus& message, group_report const& value)
{
    message.set_home_here(true);
    message.set_safe_index(value.m_safe);
    message.set_queued(value.m_queued);
    std::uint64_t last_index = 0;
    if (value.m_primary)
    {
        message.set_term(value.m_primary->m_term.value());
        message.set_primary(value.m_primary->m_member);
    }
    for (auto const& member : value.m_members)
    {
        if (member.m_status.m_member == message.primary())
        {
            last_index = member.m_status.m_received.m_index;
        }
    }
    for (auto const& member : value.m_members)
    {
        fill(*message.add_members(), member, last_index);
    }
}

/// Fills in the fields that come from the instance's own heartbeats.
void fill(admin::v1::InstanceStatus& message,
          coordination::tracked_instance const& tracked, state::time_point now)
{
    message.set_catalogue_version(tracked.m_catalogue);
    if (tracked.m_last_heard != state::time_point{})
    {
        message.set_heartbeat_age_ms(
            static_cast<std::uint32_t>((now - tracked.m_last_heard).count()));
    }
}

void add_instances(admin::v1::StatusReply& reply, fleet_control const& fleet,
                   state::time_point now)
{
    auto const& membership = fleet.membership().membership();
    for (auto const& record : membership.view())
    {
        auto& added = *reply.add_instances();
        added.set_name(record.m_name);
        added.set_data_centre(record.m_data_centre);
        added.set_address(record.m_address);
        added.set_state(to_proto(record.m_state));
        if (record.m_name == membership.self().m_name)
        {
            added.set_catalogue_version(fleet.catalogue().follower().version());
        }
        else if (auto const* const tracked = membership.find(record.m_name))
        {
            fill(added, *tracked, now);
        }
    }
}

} // namespace

admin::v1::StatusReply make_status_report(fleet_control const& fleet,
                                          home_registry const& homes,
                                          state::time_point now)
{
    admin::v1::StatusReply reply;
    auto const& follower = fleet.catalogue().follower();
    reply.set_catalogue_version(follower.version());
    reply.set_platform_reachable(!follower.store_failing());
    add_instances(reply, fleet, now);
    auto const& catalogue = fleet.homes().catalogue();
    if (!catalogue)
    {
        return reply;
    }
    reply.set_catalogue_entries(
        static_cast<std::uint32_t>(catalogue->entries().size()));
    for (auto const& group : catalogue->groups())
    {
        auto& added = *reply.add_groups();
        added.set_name(group.m_name);
        for (auto const& home : homes.homes_of(group.m_name))
        {
            added.add_homes(home);
        }
        if (auto const gateway = homes.find(group.m_name))
        {
            fill(added, gateway->report());
        }
    }
    return reply;
}

} // namespace camphortide::transport
