#include "socket_options.hpp"

#include <utility>

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

/// A caller whose machine acknowledges nothing for so long is gone.
constexpr state::duration caller_silence{10000};
/// Numbers of a session's statements lie apart from those of others.
constexpr unsigned statement_bits = 24;

} // namespace

caller_session::caller_session(asio::ip::tcp::socket socket, session_host& host,
                               std::uint64_t number)
    : m_socket(std::move(socket)),
      m_host(host),
      m_writer(m_socket, [this](bool ok) { written(ok); }),
      m_number(number),
      m_received()
{
}

void caller_session::start(end_handler ended)
{
    m_ended = std::move(ended);
    guard_socket(m_socket, caller_silence);
    m_last_line = state::clock::now();
    proceed();
}

void caller_session::read()
{
    m_reading = true;
    m_socket.async_read_some(
        asio::buffer(m_received),
        [self = shared_from_this()](error_code error, std::size_t count)
        {
            self->m_reading = false;
            if (self->m_gone)
            {
                return;
            }
            if (error)
            {
                self->end();
                return;
            }
            self->m_lines.append({self->m_received.data(), count});
            self->m_last_line = state::clock::now();
            self->proceed();
        });
}

bool caller_session::may_take() const
{
    return !m_busy && !m_gone && !m_waiting && !m_close_when_written;
}

void caller_session::proceed()
{
    if (m_taking)
    {
        return; // the loop below goes on by itself
    }
    m_taking = true;
    while (may_take())
    {
        auto const line = m_lines.next();
        if (!line)
        {
            break;
        }
        std::visit([this](auto const& message) { take(message); },
                   platform::parse_caller_line(*line));
    }
    m_taking = false;
    if (may_take() && m_lines.broken())
    {
        take(platform::malformed_message{});
    }
    // A caller that sends ahead waits until its request is answered.
    if (may_take() && !m_reading)
    {
        read();
    }
}

void caller_session::take(platform::open_session const& message)
{
    if (m_open)
    {
        take(platform::malformed_message{});
        return;
    }
    m_database = message.m_database;
    m_waiting = m_host.configuration() == nullptr;
    if (!m_waiting)
    {
        open();
    }
}

void caller_session::configuration_arrived()
{
    if (!m_waiting || m_gone)
    {
        return;
    }
    m_waiting = false;
    open();
    proceed();
}

void caller_session::open()
{
    if (!find_route())
    {
        refuse_and_close(
            {statement_error::no_such_database, "no such database"});
        return;
    }
    m_open = true;
    write(platform::session_opened());
}

bool caller_session::find_route()
{
    m_configuration = m_host.configuration();
    auto const place = m_configuration->m_routes.find(m_database);
    m_route =
        place == m_configuration->m_routes.end() ? nullptr : &place->second;
    return m_route != nullptr;
}

void caller_session::refuse_and_close(state::statement_failure const& why)
{
    m_close_when_written = true;
    m_host.refused_here({}, m_database, why);
    write(platform::session_refused(why));
}

void caller_session::take(platform::close_session const&)
{
    end();
}

void caller_session::take(platform::malformed_message const&)
{
    refuse_and_close({statement_error::malformed, "message not understood"});
}

void caller_session::take(statement const& message)
{
    if (!m_open)
    {
        take(platform::malformed_message{});
        return;
    }
    m_busy = true;
    if (m_state.phase() == state::session_phase::idle)
    {
        // A change of a route counts from the next transaction on.
        m_begun = m_last_line;
        if (!find_route())
        {
            state::statement_reply reply;
            reply.m_failure = state::statement_failure{
                statement_error::no_such_database, "no such database"};
            m_host.refused_here(message.m_id, m_database, *reply.m_failure);
            answer(reply);
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
            m_host.refused_here(message.m_id, m_database,
                                *step.m_answer->m_failure);
        }
        answer(*step.m_answer);
        return;
    }
    forward(message);
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
    request->m_number = (m_number << statement_bits) + ++m_statements;
    request->m_statement = statement;
    request->m_shape = m_state.shape_of(statement);
    request->m_values = m_state.values();
    request->m_configuration = m_configuration;
    request->m_route = m_route;
    request->m_kind = kind_of(statement);
    request->m_begins = m_state.in_transaction() && !m_bound;
    request->m_read_only = m_state.read_only();
    bool const reads = request->m_kind == sent_kind::single_read ||
                       (m_state.in_transaction() && m_state.read_only());
    request->m_primary =
        !reads || m_route->m_consistency == state::read_consistency::primary;
    request->m_session = m_position;
    request->m_read_from = m_begun;
    request->m_arrived = m_last_line;
    request->m_latest = m_last_line + m_route->m_statement_timeout;
    request->m_bound = m_bound;
    return request;
}

void caller_session::forward(statement const& statement)
{
    auto const request = build_request(statement);
    request->m_done =
        [self = shared_from_this(), statement](statement_result result)
    {
        self->finished(statement, std::move(result));
    };
    m_bound_group = m_route->m_group;
    m_host.submit(request);
}

void caller_session::finished(statement const& statement,
                              statement_result result)
{
    m_bound = std::move(result.m_bound);
    if (result.m_commit)
    {
        m_position = result.m_commit;
    }
    m_state.finish(statement, result.m_reply);
    if (m_gone)
    {
        release_transaction();
        return;
    }
    answer(result.m_reply);
}

void caller_session::answer(state::statement_reply const& reply)
{
    m_busy = false;
    write(platform::reply_lines(reply));
    proceed();
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

void caller_session::end_idle_transaction(state::duration limit,
                                          state::time_point now)
{
    if (limit.count() > 0 && now - m_last_line > limit)
    {
        end_transaction();
    }
}

void caller_session::close_if_idle()
{
    if (!m_busy && m_state.phase() == state::session_phase::idle &&
        !m_writer.busy() && !m_lines.partial())
    {
        end();
    }
}

void caller_session::write(std::string const& bytes)
{
    if (!m_gone)
    {
        m_writer.write(bytes, shared_from_this());
    }
}

void caller_session::written(bool ok)
{
    if (!ok || m_close_when_written)
    {
        end();
    }
}

void caller_session::end()
{
    if (m_gone)
    {
        return;
    }
    m_gone = true;
    error_code ignored; // the connection is given up in any case
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    m_socket.close(ignored);
    if (!m_busy)
    {
        release_transaction();
    }
    if (auto const ended = std::exchange(m_ended, nullptr))
    {
        ended(this);
    }
}

} // namespace camphortide::proxy
