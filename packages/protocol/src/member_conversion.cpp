#include <utility>
#include <vector>

#include <camphortide/protocol/member_conversion.hpp>

namespace camphortide::protocol
{

namespace
{

state::member_role from_proto(endpoint::v1::Role role)
{
    switch (role)
    {
    case endpoint::v1::ROLE_PRIMARY:
        return state::member_role::primary;
    case endpoint::v1::ROLE_REPLICA:
        return state::member_role::replica;
    case endpoint::v1::ROLE_FENCED:
        return state::member_role::fenced;
    default:
        return state::member_role::unknown;
    }
}

endpoint::v1::Role to_proto(state::member_role role)
{
    switch (role)
    {
    case state::member_role::primary:
        return endpoint::v1::ROLE_PRIMARY;
    case state::member_role::replica:
        return endpoint::v1::ROLE_REPLICA;
    case state::member_role::fenced:
        return endpoint::v1::ROLE_FENCED;
    case state::member_role::unknown:
        break;
    }
    return endpoint::v1::ROLE_UNSPECIFIED;
}

} // namespace

state::log_position from_proto(endpoint::v1::Position const& message)
{
    return {state::term(message.term()), message.index()};
}

endpoint::v1::Position to_proto(state::log_position const& value)
{
    endpoint::v1::Position message;
    message.set_term(value.m_term.value());
    message.set_index(value.m_index);
    return message;
}

state::member_status from_proto(endpoint::v1::MemberStatus const& message)
{
    std::vector<state::term_start> starts;
    for (auto const& start : message.history())
    {
        starts.push_back({state::term(start.term()), start.first_index()});
    }
    state::member_status value;
    value.m_member = message.member();
    value.m_role = from_proto(message.role());
    value.m_granted = state::term(message.granted_term());
    value.m_followed = state::term(message.followed_term());
    value.m_received = from_proto(message.received());
    value.m_applied = from_proto(message.applied());
    value.m_history = state::term_history(std::move(starts));
    value.m_primary_silence = state::duration(message.primary_silence_ms());
    value.m_leaving = message.leaving();
    value.m_connections = message.connections();
    value.m_connection_limit = message.connection_limit();
    value.m_slots = message.slots();
    value.m_probe = message.probe();
    return value;
}

endpoint::v1::MemberStatus to_proto(state::member_status const& value)
{
    endpoint::v1::MemberStatus message;
    message.set_member(value.m_member);
    message.set_role(to_proto(value.m_role));
    message.set_granted_term(value.m_granted.value());
    message.set_followed_term(value.m_followed.value());
    *message.mutable_received() = to_proto(value.m_received);
    *message.mutable_applied() = to_proto(value.m_applied);
    for (auto const& start : value.m_history.starts())
    {
        auto& added = *message.add_history();
        added.set_term(start.m_term.value());
        added.set_first_index(start.m_first_index);
    }
    message.set_primary_silence_ms(
        static_cast<std::uint32_t>(value.m_primary_silence.count()));
    message.set_leaving(value.m_leaving);
    message.set_connections(value.m_connections);
    message.set_connection_limit(value.m_connection_limit);
    message.set_slots(value.m_slots);
    message.set_probe(value.m_probe);
    return message;
}

} // namespace camphortide::protocol
