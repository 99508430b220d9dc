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

/// How often a statement is sent before it is refused.
constexpr std::uint32_t most_sendings = 8;
/// Pause before a statement that found no slot is sent again.
constexpr state::duration repeat_pause{8};

statement_failure again_later(std::string_view why)
{
    return {statement_error::busy, std::string(why)};
}

} // namespace

void group_traffic::start(request_pointer const& request, std::size_t index)
{
    auto const lane = m_lanes[index];
    m_queue.erase(request->m_number);
    m_waiting.erase(request->m_number);
    bound_connection use;
    use.m_lane = lane;
    use.m_connection = lane->take(request->m_values);
    bool const primary = is_primary(lane->member().m_id);
    m_paces[primary ? 1 : 0].note_dispatch(m_waiting.size(),
                                           state::clock::now());
    if (primary)
    {
        use.m_permit_revision = m_permit.status().m_revision;
        use.m_term = m_permit.status().m_term;
        ++m_primary_uses[use.m_permit_revision];
    }
    request->m_tried |= std::uint32_t{1} << index;
    run(request, use);
}

void group_traffic::run(request_pointer const& request,
                        bound_connection const& use)
{
    ++request->m_sendings;
    request->m_sent = state::clock::now();
    use.m_lane->started();
    watch_time(request, use);
    send_preamble(request, use);
}

void group_traffic::watch_time(request_pointer const& request,
                               bound_connection const& use)
{
    auto const left = request->m_latest - state::clock::now();
    request->m_timer = std::make_unique<boost::asio::steady_timer>(m_context);
    request->m_timer->expires_after(std::max(left, state::duration(1)));
    request->m_timer->async_wait(
        [connection = use.m_connection](boost::system::error_code error)
        {
            if (!error)
            {
                connection->close();
            }
        });
}

std::vector<std::string>
group_traffic::preamble(statement_request const& request,
                        bound_connection const& use)
{
    auto const commands = use.m_connection->setup().prepare_for(
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
    if (request.m_begins)
    {
        texts.push_back(platform::member_begin(request.m_read_only,
                                               covered_at(request, use)));
    }
    return texts;
}

std::optional<state::log_position>
group_traffic::covered_at(statement_request const& request,
                          bound_connection const& use)
{
    bool const replica = use.m_permit_revision == 0;
    bool const begins_read = request.m_begins && request.m_read_only;
    bool const asks = request.m_kind == sent_kind::single_read || begins_read;
    return replica && asks ? request.m_covered : std::nullopt;
}

void group_traffic::send_preamble(request_pointer const& request,
                                  bound_connection const& use)
{
    auto const texts = preamble(*request, use);
    if (texts.empty())
    {
        send_statement(request, use);
        return;
    }
    // The statement follows only when all of these have succeeded: it must
    // not run without them.
    auto const left = std::make_shared<std::size_t>(texts.size());
    auto const failed = std::make_shared<bool>(false);
    for (auto const& text : texts)
    {
        use.m_connection->send(
            text,
            [this, request, use, left, failed,
             alive = m_alive](std::optional<statement_reply> reply)
            {
                if (!*alive || *failed)
                {
                    return;
                }
                if (!reply || !reply->ok())
                {
                    *failed = true;
                    preamble_failed(request, use, std::move(reply));
                    return;
                }
                if (--*left == 0)
                {
                    send_statement(request, use);
                }
            });
    }
}

void group_traffic::preamble_failed(request_pointer const& request,
                                    bound_connection const& use,
                                    std::optional<statement_reply> reply)
{
    use.m_lane->finished(std::nullopt);
    request->m_timer.reset();
    auto const now = state::clock::now();
    if (reply)
    {
        learn_failure(*request, use, *reply->m_failure);
    }
    else
    {
        use.m_lane->note_failure(now);
    }
    // What was laid on the connection is not known any more.
    bool const only_begin =
        request->m_begins && reply && use.m_connection->outstanding() == 0;
    release(use, only_begin);
    if (request->m_bound)
    {
        tell(request, {statement_error::aborted, "transaction rolled back"});
        return;
    }
    send_again(request);
}

void group_traffic::send_statement(request_pointer const& request,
                                   bound_connection const& use)
{
    auto const& statement = request->m_statement;
    auto const text =
        request->m_shape
            ? platform::execute_text(
                  use.m_connection->setup().name_of(*request->m_shape),
                  statement.m_argument)
            : statement.m_text;
    auto const covered =
        request->m_begins ? std::nullopt : covered_at(*request, use);
    use.m_connection->send(
        platform::member_statement(statement.m_id, covered, text),
        [this, request, use,
         alive = m_alive](std::optional<statement_reply> reply)
        {
            if (*alive)
            {
                use.m_lane->finished(
                    reply && reply->ok()
                        ? std::optional(state::clock::now() - request->m_sent)
                        : std::nullopt);
                answered(request, use, std::move(reply));
                dispatch();
            }
        });
}

void group_traffic::answered(request_pointer const& request,
                             bound_connection const& use,
                             std::optional<statement_reply> reply)
{
    auto const now = state::clock::now();
    request->m_timer.reset();
    bool const permit_lost = use.m_permit_revision != 0 &&
                             !m_permit.still_allows(use.m_permit_revision, now);
    if (reply)
    {
        use.m_lane->note_answer();
    }
    else
    {
        use.m_lane->note_failure(now);
    }
    if (reply && reply->ok() && !permit_lost)
    {
        learn(*request, use, *reply);
    }
    else if (reply && !reply->ok())
    {
        learn_failure(*request, use, *reply->m_failure);
    }
    auto const verdict =
        coordination::evaluate_reply({request->m_kind, reply, permit_lost});
    act(request, use, verdict, std::move(reply));
}

void group_traffic::learn(statement_request const& request,
                          bound_connection const& use,
                          statement_reply const& reply)
{
    if (!reply.m_position)
    {
        return;
    }
    if (use.m_permit_revision != 0)
    {
        if (use.m_term == m_positions.term())
        {
            m_positions.note(*reply.m_position, request.m_sent);
        }
        return;
    }
    note_replica(*use.m_lane, *reply.m_position);
}

void group_traffic::learn_failure(statement_request& request,
                                  bound_connection const& use,
                                  statement_failure const& failure)
{
    request.m_last_error = failure.m_error;
    auto const now = state::clock::now();
    if (failure.m_error == statement_error::lagging)
    {
        auto const need = need_of(request);
        use.m_lane->note_lagging(
            need.m_required_reached_at
                ? std::max(now - *need.m_required_reached_at,
                           state::duration(1))
                : state::duration(1));
    }
    else if (failure.m_error == statement_error::busy)
    {
        use.m_lane->note_busy(now);
        request.m_tried = 0;
    }
}

void group_traffic::act(request_pointer const& request,
                        bound_connection const& use,
                        reply_decision const& verdict,
                        std::optional<statement_reply> reply)
{
    switch (verdict.m_action)
    {
    case reply_decision::action::deliver:
        deliver(request, use, std::move(*reply));
        return;
    case reply_decision::action::retry_in_place:
        if (state::clock::now() + repeat_pause < request->m_latest)
        {
            auto const timer =
                std::make_shared<boost::asio::steady_timer>(m_context);
            timer->expires_after(repeat_pause);
            timer->async_wait(
                [this, timer, request, use,
                 alive = m_alive](boost::system::error_code)
                {
                    if (*alive)
                    {
                        run(request, use);
                    }
                });
            return;
        }
        release(use, false);
        tell(request, again_later("no slot in time"));
        return;
    case reply_decision::action::retry:
        release(use, verdict.m_keep_connection);
        send_again(request);
        return;
    case reply_decision::action::fail:
        release(use, false);
        tell(request, *verdict.m_failure);
        return;
    }
}

void group_traffic::deliver(request_pointer const& request,
                            bound_connection const& use, statement_reply reply)
{
    statement_result result;
    bool const in_transaction =
        request->m_kind == sent_kind::in_transaction && reply.ok();
    bool const commits = request->m_kind == sent_kind::single_write ||
                         request->m_kind == sent_kind::commit_of_writes;
    if (commits && reply.ok() && reply.m_position && use.m_term != 0)
    {
        result.m_commit =
            coordination::session_position{use.m_term, *reply.m_position};
    }
    if (in_transaction)
    {
        result.m_bound = use;
    }
    else
    {
        release(use, reply.m_phase == session_phase::idle);
    }
    m_report.statement_ended(
        {m_group,
         *request,
         use.m_lane->member().m_id,
         use.m_permit_revision != 0,
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
    if (now >= request->m_latest || request->m_sendings >= most_sendings)
    {
        refuse(request, "no member ran it in time");
        return;
    }
    m_report.statement_sent_again(
        m_group, *request, std::string(to_string(request->m_last_error)));
    submit(request);
}

void group_traffic::refuse(request_pointer const& request, std::string_view why)
{
    tell(request, again_later(why));
}

void group_traffic::tell(request_pointer const& request, statement_failure why)
{
    statement_result result;
    result.m_reply.m_failure = std::move(why);
    m_report.statement_ended(
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

void group_traffic::release(bound_connection const& use, bool clean)
{
    if (use.m_permit_revision != 0)
    {
        auto const place = m_primary_uses.find(use.m_permit_revision);
        if (place != m_primary_uses.end() && --place->second == 0)
        {
            m_primary_uses.erase(place);
        }
        finish_closings();
    }
    use.m_lane->give_back(use.m_connection, clean);
}

void group_traffic::roll_back(bound_connection const& use)
{
    if (!use.m_connection->alive())
    {
        release(use, false);
        dispatch();
        return;
    }
    use.m_connection->send(
        platform::member_roll_back(),
        [this, use, alive = m_alive](std::optional<statement_reply> reply)
        {
            if (*alive)
            {
                release(use, reply && reply->ok() &&
                                 reply->m_phase == session_phase::idle);
                dispatch();
            }
        });
}

} // namespace camphortide::proxy
