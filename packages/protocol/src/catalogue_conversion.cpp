#include <memory>
#include <utility>

#include <camphortide/protocol/catalogue_conversion.hpp>
#include <camphortide/protocol/hexadecimal.hpp>

namespace camphortide::protocol
{

namespace
{

catalogue::v1::Stamp to_proto(state::change_stamp const& value)
{
    catalogue::v1::Stamp message;
    message.set_change(value.m_change);
    message.set_operator_name(value.m_operator);
    message.set_version(value.m_version);
    return message;
}

state::change_stamp from_proto(catalogue::v1::Stamp const& message)
{
    return {message.change(), message.operator_name(), message.version()};
}

catalogue::v1::Limits to_proto(state::entry_limits const& value)
{
    catalogue::v1::Limits message;
    message.set_rate(value.m_rate);
    message.set_concurrency(value.m_concurrency);
    message.set_connections(value.m_connections);
    message.set_queue_length(value.m_queue_length);
    message.set_deadline_ms(
        static_cast<std::uint32_t>(value.m_deadline.count()));
    if (value.m_age)
    {
        message.set_age_ms(static_cast<std::uint32_t>(value.m_age->count()));
    }
    message.set_retry_percent(value.m_retry_percent);
    message.set_idempotent(value.m_idempotent);
    message.set_priority(value.m_priority);
    message.set_weight(value.m_weight);
    message.set_key_retention_ms(
        static_cast<std::uint64_t>(value.m_key_retention.count()));
    return message;
}

state::entry_limits from_proto(catalogue::v1::Limits const& message)
{
    state::entry_limits value;
    value.m_rate = message.rate();
    value.m_concurrency = message.concurrency();
    value.m_connections = message.connections();
    value.m_queue_length = message.queue_length();
    value.m_deadline = state::duration(message.deadline_ms());
    if (message.has_age_ms())
    {
        value.m_age = state::duration(message.age_ms());
    }
    value.m_retry_percent = message.retry_percent();
    value.m_idempotent = message.idempotent();
    value.m_priority = message.priority();
    value.m_weight = message.weight();
    value.m_key_retention = state::duration(
        static_cast<state::clock::rep>(message.key_retention_ms()));
    return value;
}

} // namespace

catalogue::v1::Entry to_proto(state::catalogue_entry const& value)
{
    catalogue::v1::Entry message;
    message.set_name(value.m_name);
    message.set_customer(value.m_customer);
    message.set_class_name(value.m_class_name);
    message.set_group(value.m_group);
    message.set_credential_hash(
        from_hexadecimal(value.m_credential_hash).value_or(std::string()));
    *message.mutable_limits() = to_proto(value.m_limits);
    *message.mutable_stamp() = to_proto(value.m_stamp);
    return message;
}

state::catalogue_entry from_proto(catalogue::v1::Entry const& message)
{
    state::catalogue_entry value;
    value.m_name = message.name();
    value.m_customer = message.customer();
    value.m_class_name = message.class_name();
    value.m_group = message.group();
    value.m_credential_hash = to_hexadecimal(message.credential_hash());
    value.m_limits = from_proto(message.limits());
    value.m_stamp = from_proto(message.stamp());
    return value;
}

catalogue::v1::Group to_proto(state::group_description const& value)
{
    catalogue::v1::Group message;
    message.set_name(value.m_name);
    for (auto const& member : value.m_members)
    {
        auto& added = *message.add_members();
        added.set_name(member.m_name);
        added.set_address(member.m_address);
        added.set_data_centre(member.m_data_centre);
        added.set_leaving(member.m_leaving);
    }
    message.set_connection_limit(value.m_connection_limit);
    message.set_slots(value.m_slots);
    *message.mutable_stamp() = to_proto(value.m_stamp);
    return message;
}

state::group_description from_proto(catalogue::v1::Group const& message)
{
    state::group_description value;
    value.m_name = message.name();
    for (auto const& member : message.members())
    {
        value.m_members.push_back({member.name(), member.address(),
                                   member.data_centre(), member.leaving()});
    }
    value.m_connection_limit = message.connection_limit();
    value.m_slots = message.slots();
    value.m_stamp = from_proto(message.stamp());
    return value;
}

catalogue::v1::Head to_proto(state::catalogue_head const& value)
{
    catalogue::v1::Head message;
    message.set_version(value.m_version);
    for (auto const& chunk : value.m_chunks)
    {
        auto& added = *message.add_chunks();
        added.set_name(chunk.m_name);
        added.set_digest(chunk.m_digest);
        added.set_bucket(chunk.m_bucket);
        added.set_since(chunk.m_since);
    }
    for (auto const& accepted : value.m_history)
    {
        auto& added = *message.add_history();
        *added.mutable_stamp() = to_proto(accepted.m_stamp);
        added.mutable_records()->Assign(accepted.m_records.begin(),
                                        accepted.m_records.end());
    }
    message.mutable_barred()->Assign(value.m_barred.begin(),
                                     value.m_barred.end());
    return message;
}

state::catalogue_head from_proto(catalogue::v1::Head const& message)
{
    state::catalogue_head value;
    value.m_version = message.version();
    for (auto const& chunk : message.chunks())
    {
        value.m_chunks.push_back(
            {chunk.name(), chunk.digest(), chunk.bucket(), chunk.since()});
    }
    for (auto const& accepted : message.history())
    {
        value.m_history.push_back(
            {from_proto(accepted.stamp()),
             {accepted.records().begin(), accepted.records().end()}});
    }
    value.m_barred = {message.barred().begin(), message.barred().end()};
    return value;
}

catalogue::v1::Parts to_proto(coordination::catalogue_parts const& value)
{
    catalogue::v1::Parts message;
    *message.mutable_head() = to_proto(value.m_head);
    for (auto const& [name, bytes] : value.m_chunks)
    {
        auto& added = *message.add_chunks();
        added.set_name(name);
        added.set_value(*bytes);
    }
    return message;
}

coordination::catalogue_parts from_proto(catalogue::v1::Parts const& message)
{
    coordination::catalogue_parts value;
    value.m_head = from_proto(message.head());
    for (auto const& chunk : message.chunks())
    {
        value.m_chunks.emplace(
            chunk.name(), std::make_shared<std::string const>(chunk.value()));
    }
    return value;
}

std::string encode_head_object(coordination::catalogue_parts const& value)
{
    return to_proto(value).SerializeAsString();
}

std::optional<coordination::catalogue_parts>
decode_head_object(std::string_view bytes)
{
    catalogue::v1::Parts message;
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) ||
        !message.has_head())
    {
        return std::nullopt;
    }
    return from_proto(message);
}

} // namespace camphortide::protocol
