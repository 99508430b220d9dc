#include <algorithm>
#include <random>
#include <utility>

#include <google/protobuf/message.h>

#include <camphortide/coordination/request/key_registry.hpp>
#include <camphortide/transport/access/authenticator.hpp>
#include <camphortide/transport/access/request_check.hpp>

namespace camphortide::transport
{

namespace
{

constexpr std::size_t max_key_bytes = 200;
constexpr std::size_t max_entry_bytes = 200;
/// Time that an answer takes to the caller; added to the age of the answer.
constexpr state::duration delivery_time{5};

bool has_unknown_fields(google::protobuf::Message const& message)
{
    return !message.GetReflection()->GetUnknownFields(message).empty();
}

std::string random_prefix(std::string const& instance)
{
    std::random_device source;
    return "auto." + instance + "." + std::to_string(source()) + ".";
}

/// @return the time until the caller's gRPC deadline, at most 24 hours
state::duration remaining_time(grpc::CallbackServerContext const& context)
{
    auto const remaining =
        context.deadline() - std::chrono::system_clock::now();
    if (remaining > std::chrono::hours(24))
    {
        return std::chrono::hours(24);
    }
    return std::chrono::duration_cast<state::duration>(remaining);
}

/// @return the lower of the maximum ages of the entry and of the request
std::optional<state::duration> allowed_age(v1::Request const& request,
                                           state::catalogue_entry const& entry)
{
    if (!request.has_max_age_ms())
    {
        return entry.m_limits.m_age;
    }
    state::duration const requested(request.max_age_ms());
    return std::min(requested, entry.m_limits.m_age.value_or(requested));
}

} // namespace

v1::Failure not_executed(state::reason reason, std::string detail)
{
    v1::Failure failure;
    failure.set_outcome(v1::OUTCOME_NOT_EXECUTED);
    failure.set_reason(static_cast<v1::Reason>(reason));
    failure.set_detail(std::move(detail));
    return failure;
}

request_check::request_check(protocol::token_codec const& codec,
                             std::size_t max_statement_bytes,
                             std::string const& instance)
    : m_codec(codec),
      m_max_statement_bytes(max_statement_bytes),
      m_key_prefix(random_prefix(instance))
{
}

std::variant<checked_request, v1::Failure>
request_check::check(grpc::CallbackServerContext const& context,
                     std::shared_ptr<served_catalogue const> const& serving,
                     v1::Request const& request, request_kind kind,
                     state::time_point now)
{
    using state::reason;
    if (!serving)
    {
        return not_executed(reason::no_catalogue, "no catalogue yet");
    }
    if (has_unknown_fields(request) ||
        request.entry().size() > max_entry_bytes ||
        request.request_key().size() > max_key_bytes)
    {
        return not_executed(reason::bad_request,
                            "unknown field, or entry or key beyond 200 bytes");
    }
    if (request.statement().size() > m_max_statement_bytes)
    {
        return not_executed(reason::too_large, "statement is too large");
    }
    auto const allowed =
        authenticate(context, *serving->entries(), request.entry());
    if (auto const* const why = std::get_if<reason>(&allowed))
    {
        return not_executed(*why);
    }
    auto token = m_codec.decode(request.session_token());
    if (auto const* const why = std::get_if<protocol::token_error>(&token))
    {
        return not_executed(reason::bad_token,
                            "session token: " +
                                std::string(protocol::to_string(*why)));
    }
    auto const& entry = *std::get<state::catalogue_entry const*>(allowed);
    auto const requested = state::duration(request.deadline_ms());
    auto const remaining =
        std::min(remaining_time(context),
                 requested.count() > 0 ? requested : entry.m_limits.m_deadline);
    if (remaining.count() <= 0)
    {
        return not_executed(reason::deadline_exceeded, "deadline has passed");
    }
    checked_request result;
    result.m_token = std::get<state::session_token>(std::move(token));
    result.m_metrics = &serving->metrics_of(entry);
    result.m_caller_key = request.request_key();
    auto& target = result.m_request;
    target.m_kind = kind;
    target.m_entry = entry.m_name;
    target.m_group = entry.m_group;
    target.m_statement = request.statement();
    target.m_idempotent = request.idempotent() || entry.m_limits.m_idempotent;
    target.m_deadline = now + remaining;
    target.m_token = result.m_token;
    target.m_max_age = allowed_age(request, entry);
    target.m_delivery_time = delivery_time;
    if (kind != request_kind::read)
    {
        if (result.m_caller_key.empty())
        {
            result.m_caller_key = new_key();
        }
        target.m_key =
            coordination::scoped_key(entry.m_customer, result.m_caller_key);
    }
    return result;
}

std::variant<checked_request, v1::Failure>
request_check::check(grpc::CallbackServerContext const& context,
                     std::shared_ptr<served_catalogue const> const& serving,
                     v1::OutcomeRequest const& request, state::time_point now)
{
    if (request.request_key().empty() || has_unknown_fields(request))
    {
        return not_executed(state::reason::bad_request,
                            "request key is missing");
    }
    v1::Request translated;
    translated.set_entry(request.entry());
    translated.set_request_key(request.request_key());
    translated.set_session_token(request.session_token());
    return check(context, serving, translated, request_kind::resolve, now);
}

std::string request_check::new_key()
{
    return m_key_prefix + std::to_string(++m_last_key);
}

} // namespace camphortide::transport
