#include <camphortide/transport/gateway/group_request.hpp>

namespace camphortide::transport
{

group_reply failed_reply(state::outcome outcome, state::reason reason,
                         state::duration retry_after)
{
    group_reply reply;
    reply.m_outcome = outcome;
    reply.m_reason = reason;
    reply.m_retry_after = retry_after;
    return reply;
}

} // namespace camphortide::transport
