#include "socket_options.hpp"

#include <algorithm>
#include <utility>

#include <camphortide/coordination/limits/retry_hint.hpp>
#include <camphortide/proxy/caller_session.hpp>

namespace camphortide::proxy
{

namespace asio = boost::asio;
using boost::system::error_code;
using coordination::sent_kind;
using state::statement;
using state::statement_error;
using state::statement_kind;

namespace
{

/// The connection fails if the caller's host acknowledges nothing for this
/// long.
constexpr state::duration caller_ack_timeout{10000};
/// How long a transaction may go on after its caller's key has been withdrawn.
constexpr state::duration withdrawal_grace{2000};
/// A caller that sent something this recently is likely to send a statement
/// while its session is being closed.
constexpr state::duration active_time{200};
/// Low bits of a statement's number; the high bits are the session's number, so
/// that numbers are unique across sessions.
constexpr unsigned statement_bits = 24;

} // namespace

caller_session::caller_session(asio::ip::tcp::socket socket, session_host& host,
                               std::uint64_t number)
    : m_socket(std::move(socket)),
      m_host(host),
      m_writer(m_socket, [this](bool ok) { handle_written(ok); }),
      m_number(number),
      m_read_buffer()
{
}

void caller_session::start(end_handler ended)
{
    m_on_end = std::move(ended);
    configure_socket(m_socket, caller_ack_timeout);
    limit_unsent(m_socket, m_host.limits_of_unread_answers().m_bytes);
    m_last_received = state::clock::now();
    process_lines();
}

void caller_session::read()
{
    m_reading = true;
    m_socket.async_read_some(
        asio::buffer(m_read_buffer),
        [self = shared_from_this()](error_code error, std::size_t count)
        {
            self->m_reading = false;
            if (self->m_ended)
            {
                return;
            }
            if (error)
            {
                self->end();
                return;
            }
            self->m_lines.append({self->m_read_buffer.data(), count});
            self->m_last_received = state::clock::now();
            self->process_lines();
        });
}

bool caller_session::can_process() const
{
    return !m_busy && !m_ended && !m_awaiting_configuration &&
           !m_close_when_written &&
           m_writer.unsent() < m_host.limits_of_unread_answers().m_bytes;
}

void caller_session::process_lines()
{
    if (m_processing)
    {
        return; // called from within the loop below, which continues
    }
    m_processing = true;
    while (can_process())
    {
        auto const line = m_lines.next();
        if (!line)
        {
            break;
        }
        std::visit([this](auto const& message) { handle(message); },
                   platform::parse_caller_line(*line));
    }
    m_processing = false;
    if (can_process() && m_lines.broken())
    {
        handle(platform::malformed_message{});
    }
    // Nothing is read while a request is in progress: pipelined requests are
    // processed one at a time.
    if (can_process() && !m_reading)
    {
        read();
    }
}

void caller_session::handle(platform::open_session const& message)
{
    if (m_open)
    {
        handle(platform::malformed_message{});
        return;
    }
    m_database = message.m_database;
    m_key = state::key_digest(message.m_key);
    m_awaiting_configuration = m_host.configuration() == nullptr;
    if (!m_awaiting_configuration)
    {
        open();
    }
}

void caller_session::configuration_arrived()
{
    if (!m_awaiting_configuration || m_ended)
    {
        return;
    }
    m_awaiting_configuration = false;
    open();
    process_lines();
}

void caller_session::open()
{
    if (auto const failure = find_route())
    {
        refuse_and_close(*failure);
        return;
    }
    m_open = true;
    write(platform::session_opened());
}

std::optional<state::statement_failure> caller_session::find_route()
{
    if (m_host.leaving())
    {
        return state::statement_failure{
            statement_error::busy, "stopping, connect to another instance"};
    }
    m_configuration = m_host.configuration();
    m_withdrawn_at.reset();
    auto const it = m_configuration->m_routes.find(m_database);
    m_route = it == m_configuration->m_routes.end() ? nullptr : &it->second;
    if (m_route == nullptr)
    {
        return state::statement_failure{statement_error::no_such_database,
                                        "no such database"};
    }
    m_customer.clear();
    auto const& customers = m_configuration->m_customers;
    if (!customers || m_route->m_anonymous)
    {
        return std::nullopt;
    }
    auto const* const customer = customers->find_by_key(m_key);
    if (customer == nullptr)
    {
        return state::statement_failure{statement_error::unauthorized,
                                        "unknown key"};
    }
    if (!m_host.keys_up_to_date())
    {
        return state::statement_failure{statement_error::busy,
                                        "configuration too old"};
    }
    m_customer = customer->m_name;
    return std::nullopt;
}

bool caller_session::key_withdrawn(state::time_point now)
{
    if (m_customer.empty())
    {
        return false;
    }
    auto const current = m_host.configuration();
    auto const* const holder = current->m_customers
                                   ? current->m_customers->find_by_key(m_key)
                                   : nullptr;
    if (holder != nullptr && holder->m_name == m_customer)
    {
        m_withdrawn_at.reset();
        return false;
    }
    if (!m_withdrawn_at)
    {
        m_withdrawn_at = now;
    }
    return now - *m_withdrawn_at >= withdrawal_grace;
}

void caller_session::refuse_and_close(state::statement_failure const& failure)
{
    m_close_when_written = true;
    m_host.refused_locally({}, m_database, failure);
    write(platform::session_refused(failure));
}

void caller_session::handle(platform::close_session const&)
{
    end();
}

void caller_session::handle(platform::malformed_message const&)
{
    refuse_and_close({statement_error::malformed, "message not understood"});
}

void caller_session::handle(statement const& message)
{
    if (!m_open)
    {
        handle(platform::malformed_message{});
        return;
    }
    m_busy = true;
    if (m_state.phase() == state::session_phase::idle)
    {
        // A changed route applies from the next transaction on.
        m_started = m_last_received;
        if (auto const failure = find_route())
        {
            state::statement_reply reply;
            reply.m_failure = failure;
            m_host.refused_locally(message.m_id, m_database, *failure);
            m_close_when_written = m_host.leaving();
            reply_to_caller(reply);
            return;
        }
    }
    auto const step = m_state.accept(message);
    if (step.m_end_transaction)
    {
        release_transaction();
    }
    if (step.m_answer)
    {
        if (!step.m_answer->ok())
        {
            m_host.refused_locally(message.m_id, m_database,
                                   *step.m_answer->m_failure);
        }
        reply_to_caller(*step.m_answer);
        return;
    }
    submit_if_allowed(message);
}

void caller_session::submit_if_allowed(statement const& statement)
{
    // Later statements of a transaction belong to the same operation.
    if (m_bound || !m_host.limits_operations(m_customer))
    {
        submit(statement);
        return;
    }
    m_host.acquire_allowance(
        m_customer,
        [self = shared_from_this(),
         statement](coordination::allowance_decision const& decision)
        {
            bool const granted =
                decision.m_result == coordination::allowance_result::granted;
            granted && !self->m_ended
                ? self->submit(statement)
                : self->refuse_operation(statement, decision);
        });
}

void caller_session::refuse_operation(
    statement const& statement,
    coordination::allowance_decision const& decision)
{
    statement_result result;
    auto const wait = coordination::retry_hint(
        coordination::work(decision.m_retry_after.count()),
        (m_number << statement_bits) + ++m_statement_count);
    result.m_reply.m_failure = state::statement_failure{
        statement_error::busy, "allowance used up, retry after " +
                                   std::to_string(wait.count()) + " ms"};
    m_host.refused_locally(statement.m_id, m_database,
                           *result.m_reply.m_failure);
    handle_result(statement, std::move(result));
}

sent_kind caller_session::kind_of(statement const& statement) const
{
    if (statement.m_kind == statement_kind::commit)
    {
        return m_state.wrote() ? sent_kind::commit_of_writes
                               : sent_kind::commit_of_reads;
    }
    if (m_state.in_transaction())
    {
        return sent_kind::in_transaction;
    }
    return m_state.writes(statement) ? sent_kind::single_write
                                     : sent_kind::single_read;
}

std::shared_ptr<statement_request>
caller_session::build_request(statement const& statement)
{
    auto request = std::make_shared<statement_request>();
    request->m_number = (m_number << statement_bits) + ++m_statement_count;
    request->m_statement = statement;
    request->m_customer = m_customer;
    request->m_shape = m_state.shape_of(statement);
    request->m_values = m_state.values();
    request->m_configuration = m_configuration;
    request->m_route = m_route;
    request->m_kind = kind_of(statement);
    request->m_begins_transaction = m_state.in_transaction() && !m_bound;
    request->m_read_only = m_state.read_only();
    bool const reads = request->m_kind == sent_kind::single_read ||
                       (m_state.in_transaction() && m_state.read_only());
    request->m_primary =
        !reads || m_route->m_consistency == state::read_consistency::primary;
    request->m_last_commit = m_last_commit;
    request->m_started = m_started;
    request->m_arrived = m_last_received;
    request->m_deadline = std::min(
        m_last_received + m_route->m_statement_timeout, m_host.stops_at());
    request->m_bound = m_bound;
    return request;
}

void caller_session::submit(statement const& statement)
{
    auto const request = build_request(statement);
    request->m_done =
        [self = shared_from_this(), statement](statement_result result)
    {
        self->handle_result(statement, std::move(result));
    };
    m_bound_group = m_route->m_group;
    m_host.submit(request);
}

void caller_session::handle_result(statement const& statement,
                                   statement_result result)
{
    m_bound = std::move(result.m_bound);
    if (result.m_commit)
    {
        m_last_commit = result.m_commit;
    }
    m_state.finish(statement, result.m_reply);
    if (m_ended)
    {
        release_transaction();
        return;
    }
    reply_to_caller(result.m_reply);
}

void caller_session::reply_to_caller(state::statement_reply const& reply)
{
    m_busy = false;
    write(platform::reply_lines(reply));
    process_lines();
}

void caller_session::release_transaction()
{
    if (auto const bound = std::exchange(m_bound, std::nullopt))
    {
        m_host.roll_back(m_bound_group, *bound);
    }
}

void caller_session::end_transaction()
{
    if (m_busy || !m_state.in_transaction())
    {
        return;
    }
    m_state.lose_transaction();
    release_transaction();
}

void caller_session::end_overdue_transaction(state::duration limit,
                                             state::time_point now)
{
    bool const idle = limit.count() > 0 && now - m_last_received > limit;
    if (m_state.in_transaction() && (key_withdrawn(now) || idle))
    {
        end_transaction();
    }
}

void caller_session::close_if_idle(state::time_point now)
{
    if (!m_busy && now - m_last_received >= active_time &&
        m_state.phase() == state::session_phase::idle && !m_writer.busy() &&
        !m_lines.partial())
    {
        end();
    }
}

void caller_session::write(std::string const& bytes)
{
    if (!m_ended)
    {
        m_writer.write(bytes, shared_from_this());
    }
}

void caller_session::handle_written(bool ok)
{
    if (!ok || m_close_when_written)
    {
        end();
        return;
    }
    process_lines(); // it may have waited until the answers were taken
}

bool caller_session::is_unread(state::time_point now) const
{
    return m_writer.busy() && now - m_writer.stalled_since() >=
                                  m_host.limits_of_unread_answers().m_time;
}

void caller_session::close_unread()
{
    m_host.refused_locally(
        {}, m_database,
        {statement_error::timed_out, "answers not read, session closed"});
    reset_when_closed(m_socket);
    end();
}

void caller_session::end()
{
    if (m_ended)
    {
        return;
    }
    m_ended = true;
    error_code ignored; // the connection ends in any case
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    m_socket.close(ignored);
    if (!m_busy)
    {
        release_transaction();
    }
    if (auto const ended = std::exchange(m_on_end, nullptr))
    {
        ended(this);
    }
}

} // namespace camphortide::proxy
