#include <algorithm>
#include <utility>

#include <camphortide/platform/member_protocol.hpp>
#include <camphortide/proxy/group_traffic.hpp>

namespace camphortide::proxy
{

using coordination::reply_decision;
using coordination::sent_kind;
using coordination::setup_command;
using state::session_phase;
using state::statement_error;
using state::statement_failure;
using state::statement_reply;

namespace
{

/// How many times a statement is sent before it is refused.
constexpr std::uint32_t max_sends = 8;
/// Weight of a new measurement of a class's work.
constexpr double work_weight = 0.05;
/// Delay before a statement for which the member had no slot is sent again on
/// the same connection.
constexpr state::duration retry_in_place_delay{8};
/// How long the answer to a rollback is awaited: several round trips between
/// regions.
constexpr state::duration roll_back_timeout{1000};

statement_failure busy_failure(std::string_view reason)
{
    return {statement_error::busy, std::string(reason)};
}

} // namespace

void group_traffic::send_to(request_pointer const& request, std::size_t index)
{
    auto const pool = m_pools[index];
    dequeue(request);
    bound_connection bound;
    bound.m_pool = pool;
    bound.m_connection = pool->acquire(request->m_customer, request->m_values);
    bool const primary = is_primary(pool->member().m_id);
    m_dispatch_rates[primary ? 1 : 0].note_dispatch(
        m_waiting_counts[primary ? 1 : 0], state::clock::now());
    auto const work = m_work.find(request->m_route->m_name);
    if (work != m_work.end())
    {
        m_mean_work[primary ? 1 : 0].add(work->second.value_or(0));
    }
    if (primary)
    {
        bound.m_permit_revision = m_permit.status().m_revision;
        bound.m_term = m_permit.status().m_term;
        ++m_primary_uses[bound.m_permit_revision];
    }
    request->m_attempted_members |= std::uint32_t{1} << index;
    run(request, bound);
}

void group_traffic::run(request_pointer const& request,
                        bound_connection const& bound)
{
    note_sending(request, bound);
    send_preamble(request, bound);
}

void group_traffic::run_again(request_pointer const& request,
                              bound_connection const& bound)
{
    note_sending(request, bound);
    send_statement(request, bound); // its transaction has begun
}

void group_traffic::note_sending(request_pointer const& request,
                                 bound_connection const& bound)
{
    ++request->m_send_count;
    request->m_sent_at = state::clock::now();
    request->m_sent_to_idle = bound.m_pool->in_flight() == 0;
    bound.m_pool->statement_started();
}

std::vector<std::string>
group_traffic::preamble(statement_request const& request,
                        bound_connection const& bound)
{
    auto const commands = bound.m_connection->setup().prepare_for(
        request.m_values, request.m_shape);
    std::vector<std::string> texts;
    texts.reserve(commands.size() + 1);
    for (auto const& command : commands)
    {
        switch (command.m_kind)
        {
        case setup_command::kind::reset:
            texts.push_back(platform::member_reset());
            break;
        case setup_command::kind::set_value:
            texts.push_back(
                platform::member_set_value(command.m_name, command.m_text));
            break;
        case setup_command::kind::prepare:
            texts.push_back(platform::member_prepare(
                command.m_name, command.m_write, command.m_text));
            break;
        }
    }
    if (request.m_begins_transaction)
    {
        texts.push_back(platform::member_begin(
            request.m_read_only, required_position(request, bound)));
    }
    return texts;
}

std::optional<state::log_position>
group_traffic::required_position(statement_request const& request,
                                 bound_connection const& bound)
{
    bool const replica = !bound.uses_primary();
    bool const begins_read =
        request.m_begins_transaction && request.m_read_only;
    bool const carries_position =
        request.m_kind == sent_kind::single_read || begins_read;
    return replica && carries_position ? request.m_required_position
                                       : std::nullopt;
}

void group_traffic::send_preamble(request_pointer const& request,
                                  bound_connection const& bound)
{
    auto const texts = preamble(*request, bound);
    if (texts.empty())
    {
        send_statement(request, bound);
        return;
    }
    // The statement is sent only after all of these have succeeded: it must not
    // run without them.
    auto const remaining = std::make_shared<std::size_t>(texts.size());
    auto const failed = std::make_shared<bool>(false);
    for (auto const& text : texts)
    {
        bound.m_connection->send(
            text, request->m_deadline,
            [this, request, bound, remaining, failed,
             alive = m_alive](std::optional<statement_reply> reply)
            {
                if (!*alive || *failed)
                {
                    return;
                }
                bool const last = --*remaining == 0;
                bool const begun =
                    !last || !request->m_begins_transaction ||
                    (reply && reply->m_phase == session_phase::in_transaction);
                if (!reply || !reply->ok() || !begun)
                {
                    *failed = true;
                    handle_preamble_failure(request, bound, std::move(reply));
                    return;
                }
                if (last)
                {
                    send_statement(request, bound);
                }
            });
    }
}

void group_traffic::handle_preamble_failure(
    request_pointer const& request, bound_connection const& bound,
    std::optional<statement_reply> reply)
{
    bound.m_pool->statement_finished(std::nullopt);
    auto const now = state::clock::now();
    if (reply && !reply->ok())
    {
        record_statement_failure(*request, bound, *reply->m_failure);
    }
    else if (!reply)
    {
        bound.m_pool->record_failure(now);
    }
    // After a failure the setup of the connection is unknown. It is reusable
    // only if nothing but BEGIN can have failed, and no transaction is open.
    bool const only_begin = request->m_begins_transaction && reply &&
                            reply->m_phase == session_phase::idle &&
                            bound.m_connection->outstanding() == 0;
    release(bound, only_begin);
    if (request->m_bound)
    {
        fail(request, {statement_error::aborted, "transaction rolled back"});
        return;
    }
    send_again(request);
}

void group_traffic::send_statement(request_pointer const& request,
                                   bound_connection const& bound)
{
    auto const& statement = request->m_statement;
    auto const text =
        request->m_shape
            ? platform::execute_text(
                  bound.m_connection->setup().name_of(*request->m_shape),
                  statement.m_argument)
            : statement.m_text;
    auto const covered = request->m_begins_transaction
                             ? std::nullopt
                             : required_position(*request, bound);
    bound.m_connection->send(
        platform::member_statement(statement.m_id, covered, text),
        request->m_deadline,
        [this, request, bound,
         alive = m_alive](std::optional<statement_reply> reply)
        {
            if (*alive)
            {
                bound.m_pool->statement_finished(
                    reply && reply->ok() ? std::optional(state::clock::now() -
                                                         request->m_sent_at)
                                         : std::nullopt);
                if (reply && reply->ok())
                {
                    record_work(*request);
                }
                handle_reply(request, bound, std::move(reply));
                dispatch();
            }
        });
}

void group_traffic::handle_reply(request_pointer const& request,
                                 bound_connection const& bound,
                                 std::optional<statement_reply> reply)
{
    auto const now = state::clock::now();
    bool const permit_lost =
        bound.uses_primary() &&
        !m_permit.still_allows(bound.m_permit_revision, now);
    if (reply)
    {
        bound.m_pool->record_answer();
    }
    else
    {
        bound.m_pool->record_failure(now);
    }
    if (reply && reply->ok() && !permit_lost)
    {
        record_position(*request, bound, *reply);
    }
    else if (reply && !reply->ok())
    {
        record_statement_failure(*request, bound, *reply->m_failure);
    }
    auto const decision =
        coordination::evaluate_reply({request->m_kind, reply, permit_lost});
    apply_decision(request, bound, decision, std::move(reply));
}

void group_traffic::record_work(statement_request const& request)
{
    // Other responses contain the wait at the member.
    if (request.m_sent_to_idle)
    {
        auto const work = static_cast<double>(
            (state::clock::now() - request.m_sent_at).count());
        m_work.try_emplace(request.m_route->m_name, work_weight)
            .first->second.add(work);
    }
}

void group_traffic::record_position(statement_request const& request,
                                    bound_connection const& bound,
                                    statement_reply const& reply)
{
    if (!reply.m_position)
    {
        return;
    }
    if (bound.uses_primary())
    {
        if (bound.m_term == m_positions.term())
        {
            m_positions.note(*reply.m_position, request.m_sent_at);
        }
        return;
    }
    record_replica_position(*bound.m_pool, *reply.m_position);
}

void group_traffic::record_statement_failure(statement_request& request,
                                             bound_connection const& bound,
                                             statement_failure const& failure)
{
    request.m_last_error = failure.m_error;
    auto const now = state::clock::now();
    if (failure.m_error == statement_error::lagging)
    {
        auto const requirements = requirements_for(request);
        bound.m_pool->lag().record_refusal(
            requirements.m_required_reached_at
                ? std::max(now - *requirements.m_required_reached_at,
                           state::duration(1))
                : state::duration(1),
            now);
    }
    else if (failure.m_error == statement_error::busy)
    {
        bound.m_pool->record_busy(now);
        request.m_attempted_members = 0;
    }
}

void group_traffic::apply_decision(request_pointer const& request,
                                   bound_connection const& bound,
                                   reply_decision const& decision,
                                   std::optional<statement_reply> reply)
{
    switch (decision.m_action)
    {
    case reply_decision::action::deliver:
        deliver(request, bound, std::move(*reply));
        return;
    case reply_decision::action::retry_in_place:
        if (state::clock::now() + retry_in_place_delay < request->m_deadline)
        {
            auto const timer =
                std::make_shared<boost::asio::steady_timer>(m_context);
            timer->expires_after(retry_in_place_delay);
            timer->async_wait(
                [this, timer, request, bound,
                 alive = m_alive](boost::system::error_code)
                {
                    if (*alive)
                    {
                        run_again(request, bound);
                    }
                });
            return;
        }
        release(bound, false);
        fail(request, busy_failure("no slot in time"));
        return;
    case reply_decision::action::retry:
        release(bound, decision.m_keep_connection && reply &&
                           reply->m_phase == session_phase::idle);
        send_again(request);
        return;
    case reply_decision::action::fail:
        release(bound, false);
        fail(request, *decision.m_failure);
        return;
    }
}

void group_traffic::deliver(request_pointer const& request,
                            bound_connection const& bound,
                            statement_reply reply)
{
    statement_result result;
    bool const in_transaction =
        request->m_kind == sent_kind::in_transaction && reply.ok();
    bool const commits = request->m_kind == sent_kind::single_write ||
                         request->m_kind == sent_kind::commit_of_writes;
    if (commits && reply.ok() && reply.m_position && bound.m_term != 0)
    {
        result.m_commit =
            coordination::session_position{bound.m_term, *reply.m_position};
    }
    if (in_transaction)
    {
        result.m_bound = bound;
    }
    else
    {
        release(bound, reply.m_phase == session_phase::idle);
    }
    m_observer.statement_ended(
        {m_group,
         *request,
         bound.m_pool->member().m_id,
         bound.uses_primary(),
         reply,
         state::clock::now(),
         state::clock::now() - m_permit.status().m_verified_at,
         {}});
    result.m_reply = std::move(reply);
    auto const done = std::exchange(request->m_done, nullptr);
    done(std::move(result));
}

void group_traffic::send_again(request_pointer const& request)
{
    auto const now = state::clock::now();
    if (now >= request->m_deadline || request->m_send_count >= max_sends)
    {
        refuse(request, "no member ran it in time");
        return;
    }
    m_observer.statement_sent_again(
        m_group, *request, std::string(to_string(request->m_last_error)));
    submit(request);
}

void group_traffic::refuse(request_pointer const& request,
                           std::string_view reason)
{
    fail(request, busy_failure(reason));
}

void group_traffic::fail(request_pointer const& request,
                         statement_failure failure)
{
    statement_result result;
    result.m_reply.m_failure = std::move(failure);
    m_observer.statement_ended(
        {m_group,
         *request,
         {},
         false,
         result.m_reply,
         state::clock::now(),
         state::clock::now() - m_permit.status().m_verified_at,
         result.m_reply.m_failure->m_text});
    auto const done = std::exchange(request->m_done, nullptr);
    if (done)
    {
        done(std::move(result));
    }
}

void group_traffic::release(bound_connection const& bound, bool clean)
{
    if (bound.uses_primary())
    {
        auto const it = m_primary_uses.find(bound.m_permit_revision);
        if (it != m_primary_uses.end() && --it->second == 0)
        {
            m_primary_uses.erase(it);
        }
        finish_pending_closes();
    }
    bound.m_pool->release(bound.m_connection, clean);
}

void group_traffic::roll_back(bound_connection const& bound)
{
    if (!bound.m_connection->alive())
    {
        release(bound, false);
        dispatch();
        return;
    }
    bound.m_connection->send(
        platform::member_roll_back(), state::clock::now() + roll_back_timeout,
        [this, bound, alive = m_alive](std::optional<statement_reply> reply)
        {
            if (*alive)
            {
                release(bound, reply && reply->ok() &&
                                   reply->m_phase == session_phase::idle);
                dispatch();
            }
        });
}

} // namespace camphortide::proxy
