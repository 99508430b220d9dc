#include <camphortide/proxy/forwarding_conversion.hpp>

namespace camphortide::proxy
{

namespace
{

using coordination::sent_kind;
using coordination::session_position;
using state::duration;

/// Decodes an enumerator; its number on the wire is its declared value.
/// @param last the highest valid enumerator
template <typename Enumeration>
std::optional<Enumeration> decode_enum(std::uint32_t value, Enumeration last)
{
    if (value > static_cast<std::uint32_t>(last))
    {
        return std::nullopt;
    }
    return static_cast<Enumeration>(value);
}

void fill(state::log_position const& from, v1::Position& to)
{
    to.set_term(from.m_term.value());
    to.set_index(from.m_index);
}

state::log_position read(v1::Position const& from)
{
    return {state::term(from.term()), from.index()};
}

void fill(session_position const& from, v1::SessionPosition& to)
{
    to.set_primary_term(from.m_term);
    fill(from.m_position, *to.mutable_position());
}

session_position read(v1::SessionPosition const& from)
{
    return {from.primary_term(), read(from.position())};
}

void fill(state::route const& from, v1::Route& to)
{
    to.set_name(from.m_name);
    to.set_consistency(static_cast<std::uint32_t>(from.m_consistency));
    to.set_max_staleness_ms(from.m_max_staleness.count());
    to.set_statement_timeout_ms(from.m_statement_timeout.count());
    to.set_target_latency_ms(from.m_target_latency.count());
    to.set_priority(from.m_priority);
}

std::optional<state::route> read(v1::Route const& from,
                                 std::string const& group)
{
    auto const consistency = decode_enum(
        from.consistency(), state::read_consistency::read_your_writes);
    if (!consistency || from.max_staleness_ms() < 0 ||
        from.statement_timeout_ms() < 0 || from.target_latency_ms() < 0)
    {
        return std::nullopt;
    }
    state::route route;
    route.m_name = from.name();
    route.m_group = group;
    route.m_consistency = *consistency;
    route.m_max_staleness = duration(from.max_staleness_ms());
    route.m_statement_timeout = duration(from.statement_timeout_ms());
    route.m_target_latency = duration(from.target_latency_ms());
    route.m_priority = from.priority();
    return route;
}

/// Stores the route in a configuration of its own, which the request keeps
/// alive.
void set_route(statement_request& request, state::route route,
               std::uint64_t version)
{
    auto configuration = std::make_shared<state::configuration>();
    configuration->m_version = version;
    auto const it = configuration->m_routes.emplace("", std::move(route));
    request.m_route = &it.first->second;
    request.m_configuration = std::move(configuration);
}

} // namespace

v1::Message encode_statement(statement_request const& request,
                             std::uint64_t number, std::uint64_t transaction,
                             state::time_point now)
{
    v1::Message message;
    auto& to = *message.mutable_statement();
    to.set_number(number);
    to.set_transaction(transaction);
    to.set_group(request.m_route->m_group);
    to.set_id(request.m_statement.m_id);
    to.set_text(request.m_statement.m_text);
    to.set_argument(request.m_statement.m_argument);
    if (request.m_shape)
    {
        to.mutable_shape()->set_writes(request.m_shape->m_write);
        to.mutable_shape()->set_text(request.m_shape->m_shape);
    }
    for (auto const& [name, value] : request.m_values)
    {
        auto& each = *to.add_values();
        each.set_name(name);
        each.set_value(value);
    }
    fill(*request.m_route, *to.mutable_route());
    to.set_configuration(request.m_configuration->m_version);
    to.set_kind(static_cast<std::uint32_t>(request.m_kind));
    to.set_begins(request.m_begins_transaction);
    to.set_read_only(request.m_read_only);
    to.set_primary(request.m_primary);
    if (request.m_last_commit)
    {
        fill(*request.m_last_commit, *to.mutable_session());
    }
    to.set_read_from_age_ms((now - request.m_started).count());
    to.set_arrived_age_ms((now - request.m_arrived).count());
    to.set_time_left_ms((request.m_deadline - now).count());
    to.set_customer(request.m_customer);
    to.set_no_home(request.m_no_home);
    return message;
}

std::shared_ptr<statement_request>
decode_statement(v1::Statement const& message, state::time_point now)
{
    auto const kind = decode_enum(message.kind(), sent_kind::commit_of_writes);
    auto route = read(message.route(), message.group());
    if (!kind || !route || message.id().empty() || message.text().empty() ||
        message.read_from_age_ms() < 0 || message.arrived_age_ms() < 0)
    {
        return nullptr;
    }
    auto request = std::make_shared<statement_request>();
    request->m_statement.m_id = message.id();
    request->m_statement.m_text = message.text();
    request->m_statement.m_argument = message.argument();
    if (message.has_shape())
    {
        request->m_shape = coordination::prepared_shape{
            message.shape().writes(), message.shape().text()};
    }
    for (auto const& each : message.values())
    {
        request->m_values[each.name()] = each.value();
    }
    set_route(*request, std::move(*route), message.configuration());
    request->m_kind = *kind;
    request->m_begins_transaction = message.begins();
    request->m_read_only = message.read_only();
    request->m_primary = message.primary();
    if (message.has_session())
    {
        request->m_last_commit = read(message.session());
    }
    request->m_started = now - duration(message.read_from_age_ms());
    request->m_arrived = now - duration(message.arrived_age_ms());
    request->m_deadline = now + duration(message.time_left_ms());
    request->m_customer = message.customer();
    request->m_no_home = message.no_home();
    return request;
}

v1::Message encode_result(statement_result const& result, std::uint64_t number,
                          std::uint64_t transaction)
{
    v1::Message message;
    auto& to = *message.mutable_reply();
    auto const& reply = result.m_reply;
    to.set_number(number);
    to.set_transaction(transaction);
    to.mutable_rows()->Assign(reply.m_rows.begin(), reply.m_rows.end());
    if (reply.m_failure)
    {
        to.mutable_failure()->set_error(
            static_cast<std::uint32_t>(reply.m_failure->m_error));
        to.mutable_failure()->set_text(reply.m_failure->m_text);
    }
    to.set_signature(reply.m_signature);
    to.set_phase(static_cast<std::uint32_t>(reply.m_phase));
    if (reply.m_position)
    {
        fill(*reply.m_position, *to.mutable_position());
    }
    if (result.m_commit)
    {
        fill(*result.m_commit, *to.mutable_commit());
    }
    return message;
}

v1::Message encode_not_run(std::uint64_t number)
{
    v1::Message message;
    message.mutable_reply()->set_number(number);
    message.mutable_reply()->set_not_run(true);
    return message;
}

std::optional<statement_result> decode_result(v1::Reply const& message)
{
    auto const phase =
        decode_enum(message.phase(), state::session_phase::failed_transaction);
    auto const error = decode_enum(message.failure().error(),
                                   state::statement_error::unauthorized);
    if (!phase || !error)
    {
        return std::nullopt;
    }
    statement_result result;
    auto& reply = result.m_reply;
    reply.m_rows.assign(message.rows().begin(), message.rows().end());
    if (message.has_failure())
    {
        reply.m_failure =
            state::statement_failure{*error, message.failure().text()};
    }
    reply.m_signature = message.signature();
    reply.m_phase = *phase;
    if (message.has_position())
    {
        reply.m_position = read(message.position());
    }
    if (message.has_commit())
    {
        result.m_commit = read(message.commit());
    }
    return result;
}

} // namespace camphortide::proxy
