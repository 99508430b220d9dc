#include <camphortide/proxy/request_log.hpp>
#include <camphortide/transport/logging/log.hpp>

namespace camphortide::proxy
{

using state::statement_error;
using transport::log_part;

namespace
{

state::outcome outcome_of(state::statement_reply const& reply)
{
    if (reply.ok())
    {
        return state::outcome::executed;
    }
    switch (reply.m_failure->m_error)
    {
    case statement_error::in_doubt:
    case statement_error::timed_out:
    case statement_error::failed:
        return state::outcome::unknown;
    default:
        return state::outcome::not_executed;
    }
}

state::reason reason_of(state::statement_reply const& reply)
{
    if (reply.ok())
    {
        return state::reason::none;
    }
    switch (reply.m_failure->m_error)
    {
    case statement_error::busy:
    case statement_error::overload:
        return state::reason::deadline_exceeded;
    case statement_error::aborted:
        return state::reason::transaction_lost;
    case statement_error::lagging:
        return state::reason::too_old;
    case statement_error::read_only:
    case statement_error::misrouted:
        return state::reason::no_primary;
    case statement_error::in_doubt:
    case statement_error::timed_out:
        return state::reason::connection_lost;
    default:
        return state::reason::statement_failed;
    }
}

/// @return the time from arrival until the statement was last sent, or refused
state::duration queue_wait(statement_end const& end)
{
    auto const until =
        end.m_request.m_send_count > 0 ? end.m_request.m_sent_at : end.m_now;
    return until - end.m_request.m_arrived;
}

transport::request_route route_of(statement_end const& end)
{
    if (end.m_member.empty())
    {
        return transport::request_route::none;
    }
    return end.m_primary ? transport::request_route::primary
                         : transport::request_route::replica;
}

} // namespace

request_log::request_log(transport::metrics_registry& metrics)
    : m_metrics(metrics)
{
}

void request_log::ended(statement_end const& end)
{
    auto const& request = end.m_request;
    transport::request_sample sample;
    sample.m_outcome = outcome_of(end.m_reply);
    sample.m_reason = reason_of(end.m_reply);
    sample.m_route = route_of(end);
    sample.m_latency = end.m_now - request.m_arrived;
    if (!request.m_bound)
    {
        sample.m_queue_wait = queue_wait(end);
    }
    m_metrics.find_or_create(end.m_group, request.m_route->m_name)
        .record(sample);
    auto const outcome = end.m_reply.ok()
                             ? std::string_view("ok")
                             : state::to_string(end.m_reply.m_failure->m_error);
    transport::log_decision(
        log_part::callers,
        end.m_reply.ok() ? "statement answered" : "statement failed",
        {{"id", request.m_statement.m_id},
         {"route", request.m_route->m_name},
         {"group", end.m_group},
         {"outcome", outcome},
         {"member", end.m_member},
         {"primary", end.m_primary},
         {"sendings", request.m_send_count},
         {"waited", queue_wait(end)},
         {"took", end.m_now - request.m_arrived},
         {"target", request.m_route->m_target_latency},
         {"configuration", request.m_configuration->m_version},
         {"permit_age", end.m_permit_age},
         {"cause", end.m_cause}});
}

void request_log::sent_again(std::string const& group,
                             statement_request const& request,
                             std::string const& cause)
{
    transport::log_decision(log_part::callers, "statement sent again",
                            {{"id", request.m_statement.m_id},
                             {"group", group},
                             {"cause", cause},
                             {"sendings", request.m_send_count}});
}

} // namespace camphortide::proxy
