#include <algorithm>

#include <camphortide/protocol/member_conversion.hpp>
#include <camphortide/transport/access/outcome_conversion.hpp>
#include <camphortide/transport/instance/forward_conversion.hpp>

namespace camphortide::transport
{

namespace
{

/// Time of a reply's way from the home through the entry instance to the
/// caller.
constexpr state::duration entry_hop_time{10};

std::uint32_t milliseconds(state::duration value)
{
    return static_cast<std::uint32_t>(
        std::max<state::duration::rep>(0, value.count()));
}

} // namespace

peer::v1::ForwardRequest to_proto(group_request const& request,
                                  state::time_point now)
{
    peer::v1::ForwardRequest message;
    message.set_kind(static_cast<peer::v1::ForwardKind>(
        static_cast<int>(request.m_kind) + 1));
    message.set_entry(request.m_entry);
    message.set_group(request.m_group);
    message.set_statement(request.m_statement);
    message.set_request_key(request.m_key);
    message.set_idempotent(request.m_idempotent);
    message.set_remaining_ms(milliseconds(request.m_deadline - now));
    if (request.m_max_age)
    {
        message.set_max_age_ms(milliseconds(*request.m_max_age));
    }
    if (auto const position = request.m_token.find(request.m_group))
    {
        *message.mutable_required() = protocol::to_proto(*position);
    }
    message.set_token_complete(request.m_token.complete());
    message.set_transaction(request.m_transaction);
    message.set_hops(request.m_hops);
    return message;
}

group_request from_proto(peer::v1::ForwardRequest const& message,
                         std::string const& sender, state::time_point now)
{
    group_request request;
    request.m_kind =
        static_cast<request_kind>(static_cast<int>(message.kind()) - 1);
    request.m_entry = message.entry();
    request.m_group = message.group();
    request.m_statement = message.statement();
    request.m_key = message.request_key();
    request.m_idempotent = message.idempotent();
    request.m_deadline = now + state::duration(message.remaining_ms());
    if (message.has_max_age_ms())
    {
        request.m_max_age = state::duration(message.max_age_ms());
    }
    std::vector<state::group_position> positions;
    if (message.has_required())
    {
        positions.push_back(
            {message.group(), protocol::from_proto(message.required())});
    }
    request.m_token =
        state::session_token(std::move(positions), message.token_complete());
    request.m_transaction = message.transaction();
    request.m_forwarded_by = sender;
    request.m_hops = message.hops();
    request.m_delivery_time = entry_hop_time;
    return request;
}

peer::v1::ForwardReply to_proto(group_reply const& reply)
{
    peer::v1::ForwardReply message;
    message.set_outcome(to_proto(reply.m_outcome));
    message.set_reason(static_cast<v1::Reason>(reply.m_reason));
    message.set_result(reply.m_result);
    *message.mutable_position() = protocol::to_proto(reply.m_position);
    message.set_member(reply.m_member);
    message.set_from_replica(reply.m_from_replica);
    message.set_replayed(reply.m_replayed);
    if (reply.m_age)
    {
        message.set_age_ms(milliseconds(*reply.m_age));
    }
    message.set_retry_after_ms(milliseconds(reply.m_retry_after));
    message.set_queue_wait_us(
        static_cast<std::uint64_t>(reply.m_queue_wait.count()));
    return message;
}

group_reply from_proto(peer::v1::ForwardReply const& message)
{
    group_reply reply;
    reply.m_outcome = from_proto(message.outcome());
    reply.m_reason = static_cast<state::reason>(message.reason());
    reply.m_result = message.result();
    reply.m_position = protocol::from_proto(message.position());
    reply.m_member = message.member();
    reply.m_from_replica = message.from_replica();
    reply.m_replayed = message.replayed();
    if (message.has_age_ms())
    {
        reply.m_age = state::duration(message.age_ms());
    }
    reply.m_retry_after = state::duration(message.retry_after_ms());
    reply.m_queue_wait = std::chrono::microseconds(message.queue_wait_us());
    return reply;
}

} // namespace camphortide::transport
