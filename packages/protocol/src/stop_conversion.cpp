#include <array>
#include <cstddef>

#include <camphortide/protocol/stop_conversion.hpp>

namespace camphortide::protocol
{

namespace
{

stop::v1::Stop to_proto(state::planned_stop const& value)
{
    stop::v1::Stop message;
    message.set_id(value.m_id);
    // The enum values of the messages are one higher than those of the state,
    // as their zero means unspecified.
    message.set_kind(
        static_cast<stop::v1::Kind>(static_cast<int>(value.m_kind) + 1));
    message.set_target(value.m_target);
    message.set_group(value.m_group);
    message.set_operator_name(value.m_operator);
    message.set_state(
        static_cast<stop::v1::State>(static_cast<int>(value.m_state) + 1));
    message.mutable_drained()->Assign(value.m_drained.begin(),
                                      value.m_drained.end());
    message.set_created(value.m_created);
    return message;
}

bool is_known(stop::v1::Stop const& message)
{
    return message.kind() >= stop::v1::KIND_INSTANCE &&
           message.kind() <= stop::v1::KIND_ENDPOINT &&
           message.state() >= stop::v1::STATE_PLANNED &&
           message.state() <= stop::v1::STATE_CANCELLED;
}

state::planned_stop from_proto(stop::v1::Stop const& message,
                               std::uint64_t object_version)
{
    state::planned_stop value;
    value.m_id = message.id();
    value.m_kind = static_cast<state::stop_kind>(message.kind() - 1);
    value.m_target = message.target();
    value.m_group = message.group();
    value.m_operator = message.operator_name();
    value.m_state = static_cast<state::stop_state>(message.state() - 1);
    value.m_drained = {message.drained().begin(), message.drained().end()};
    value.m_created =
        message.created() == 0 ? object_version : message.created();
    value.m_object_version = object_version;
    return value;
}

} // namespace

stop::v1::StopList to_proto(state::stop_list const& value)
{
    stop::v1::StopList message;
    message.set_version(value.m_version);
    for (auto const& stop : value.m_stops)
    {
        auto& added = *message.add_stops();
        *added.mutable_stop() = to_proto(stop);
        added.set_object_version(stop.m_object_version);
    }
    return message;
}

state::stop_list from_proto(stop::v1::StopList const& message)
{
    state::stop_list value;
    value.m_version = message.version();
    for (auto const& stored : message.stops())
    {
        if (is_known(stored.stop()))
        {
            value.m_stops.push_back(
                from_proto(stored.stop(), stored.object_version()));
        }
    }
    return value;
}

std::string encode_stop_object(state::planned_stop const& value)
{
    return to_proto(value).SerializeAsString();
}

std::optional<state::planned_stop>
decode_stop_object(std::string_view bytes, std::uint64_t object_version)
{
    stop::v1::Stop message;
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) ||
        !is_known(message))
    {
        return std::nullopt;
    }
    return from_proto(message, object_version);
}

} // namespace camphortide::protocol
