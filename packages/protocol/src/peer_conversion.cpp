#include <algorithm>
#include <cstdint>
#include <limits>

#include <camphortide/protocol/peer_conversion.hpp>

namespace camphortide::protocol
{

namespace
{

std::uint32_t to_milliseconds(state::duration value)
{
    constexpr state::clock::rep max_value =
        std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(
        std::clamp<state::clock::rep>(value.count(), 0, max_value));
}

// The enum values of the messages are one higher than those of the state, as
// their zero means unspecified.
peer::v1::InstanceState to_proto(state::instance_state value)
{
    return static_cast<peer::v1::InstanceState>(static_cast<int>(value) + 1);
}

bool is_known(peer::v1::InstanceState value)
{
    return value >= peer::v1::INSTANCE_STATE_LIVE &&
           value <= peer::v1::INSTANCE_STATE_LEAVING;
}

state::instance_state from_proto(peer::v1::InstanceState value)
{
    return static_cast<state::instance_state>(value - 1);
}

void fill(peer::v1::Instance& message, state::instance_record const& value)
{
    message.set_name(value.m_name);
    message.set_data_centre(value.m_data_centre);
    message.set_address(value.m_address);
    message.set_incarnation(value.m_incarnation);
    message.set_state(to_proto(value.m_state));
}

state::instance_record sender_of(peer::v1::Envelope const& envelope)
{
    auto const& message = envelope.heartbeat();
    return {envelope.sender(), message.data_centre(), message.address(),
            envelope.incarnation(), from_proto(message.state())};
}

} // namespace

peer::v1::Envelope make_envelope(state::instance_record const& self)
{
    peer::v1::Envelope envelope;
    envelope.set_sender(self.m_name);
    envelope.set_incarnation(self.m_incarnation);
    return envelope;
}

peer::v1::Envelope to_envelope(coordination::heartbeat const& value)
{
    auto envelope = make_envelope(value.m_sender);
    auto& message = *envelope.mutable_heartbeat();
    message.set_kind(static_cast<peer::v1::HeartbeatKind>(
        static_cast<int>(value.m_kind) + 1));
    message.set_data_centre(value.m_sender.m_data_centre);
    message.set_address(value.m_sender.m_address);
    message.set_state(to_proto(value.m_sender.m_state));
    message.set_sequence(value.m_sequence);
    message.set_checksum(value.m_checksum);
    message.set_catalogue_version(value.m_held.m_catalogue);
    message.set_stops_version(value.m_held.m_stops);
    message.set_confirmed_age_ms(to_milliseconds(value.m_held.m_confirmed_age));
    for (auto const& record : value.m_records)
    {
        fill(*message.add_records(), record);
    }
    return envelope;
}

std::optional<coordination::heartbeat>
heartbeat_from(peer::v1::Envelope const& envelope)
{
    auto const& message = envelope.heartbeat();
    bool const is_valid = envelope.has_heartbeat() &&
                          !envelope.sender().empty() &&
                          message.kind() >= peer::v1::HEARTBEAT_KIND_PROBE &&
                          message.kind() <= peer::v1::HEARTBEAT_KIND_WELCOME &&
                          is_known(message.state());
    if (!is_valid)
    {
        return std::nullopt;
    }
    coordination::heartbeat value;
    value.m_kind =
        static_cast<coordination::heartbeat_kind>(message.kind() - 1);
    value.m_sender = sender_of(envelope);
    value.m_sequence = message.sequence();
    value.m_checksum = message.checksum();
    value.m_held = {message.catalogue_version(), message.stops_version(),
                    state::duration(message.confirmed_age_ms())};
    for (auto const& record : message.records())
    {
        if (is_known(record.state()) && !record.name().empty())
        {
            value.m_records.push_back({record.name(), record.data_centre(),
                                       record.address(), record.incarnation(),
                                       from_proto(record.state())});
        }
    }
    return value;
}

peer::v1::CatalogueOffer to_proto(coordination::catalogue_offer const& value)
{
    peer::v1::CatalogueOffer message;
    message.set_version(value.m_version);
    message.set_wants_answer(value.m_wants_answer);
    message.set_confirmed_age_ms(to_milliseconds(value.m_confirmed_age));
    return message;
}

coordination::catalogue_offer
from_proto(peer::v1::CatalogueOffer const& message)
{
    return {message.version(), message.wants_answer(),
            state::duration(message.confirmed_age_ms())};
}

peer::v1::CatalogueRequest
to_proto(coordination::catalogue_request const& value)
{
    peer::v1::CatalogueRequest message;
    message.set_have(value.m_have);
    message.mutable_chunks()->Assign(value.m_chunks.begin(),
                                     value.m_chunks.end());
    return message;
}

coordination::catalogue_request
from_proto(peer::v1::CatalogueRequest const& message)
{
    return {message.have(), {message.chunks().begin(), message.chunks().end()}};
}

} // namespace camphortide::protocol
