#include "socket_options.hpp"

#include <algorithm>
#include <utility>

#include <boost/asio/post.hpp>

#include <camphortide/proxy/member_connection.hpp>

namespace camphortide::proxy
{

namespace asio = boost::asio;
using boost::system::error_code;

namespace
{

/// The connection fails if the member's host doesn't acknowledge data for this
/// long: many round trips, but no more than a caller's target latency.
constexpr state::duration ack_timeout{500};
/// Timeout for a new connection, including the time that a member with a full
/// queue needs to set it up.
constexpr state::duration opening_timeout{600};

} // namespace

member_connection::member_connection(asio::io_context& context)
    : m_socket(context),
      m_writer(m_socket,
               [this](bool ok)
               {
                   if (!ok)
                   {
                       end();
                   }
               }),
      m_opening_timer(context),
      m_reply_timer(context),
      m_read_buffer()
{
}

member_connection::~member_connection() = default;

void member_connection::open(state::member_entry const& member,
                             std::string const& customer, open_handler done)
{
    m_customer = customer;
    m_opening = std::move(done);
    m_greeting =
        platform::member_connect(member.m_group, member.m_id, m_customer);
    m_opening_timer.expires_after(opening_timeout);
    m_opening_timer.async_wait(
        [self = shared_from_this()](error_code error)
        {
            if (!error)
            {
                self->finish_opening(opening_result::timed_out);
            }
        });
    auto const endpoint = parse_endpoint(member.m_address);
    if (!endpoint)
    {
        asio::post(m_socket.get_executor(), [self = shared_from_this()]
                   { self->finish_opening(opening_result::refused); });
        return;
    }
    m_connect_started = state::clock::now();
    m_socket.async_connect(
        *endpoint,
        [self = shared_from_this()](error_code error)
        {
            if (self->m_ended)
            {
                return;
            }
            if (error)
            {
                self->m_no_listener = error == asio::error::connection_refused;
                self->finish_opening(opening_result::refused);
                return;
            }
            self->handle_connected();
        });
}

void member_connection::handle_connected()
{
    m_round_trip = state::clock::now() - m_connect_started;
    configure_socket(m_socket, ack_timeout);
    m_writer.write(m_greeting, shared_from_this());
    read();
}

void member_connection::handle_opening_line(std::string const& line)
{
    switch (m_parser.add(line))
    {
    case platform::member_reply_parser::progress::more:
        return;
    case platform::member_reply_parser::progress::broken:
        finish_opening(opening_result::misrouted);
        return;
    case platform::member_reply_parser::progress::complete:
        m_parser.take();
        finish_opening(opening_result::opened);
        return;
    }
}

void member_connection::finish_opening(opening_result result)
{
    if (!m_opening)
    {
        return;
    }
    auto const done = std::exchange(m_opening, nullptr);
    m_opening_timer.cancel();
    m_last_used = state::clock::now();
    m_opened_at = m_last_used;
    m_open = result == opening_result::opened;
    if (!m_open)
    {
        end();
    }
    done(result);
}

void member_connection::send(std::string const& bytes,
                             state::time_point deadline, reply_handler done)
{
    if (!m_open)
    {
        done(std::nullopt);
        return;
    }
    m_last_used = state::clock::now();
    m_outstanding.push_back({std::move(done), deadline});
    m_writer.write(bytes, shared_from_this());
    await_replies();
}

state::time_point member_connection::earliest_deadline() const
{
    return std::ranges::min_element(m_outstanding, {},
                                    &outstanding_statement::m_deadline)
        ->m_deadline;
}

void member_connection::await_replies()
{
    if (m_ended || m_outstanding.empty())
    {
        return;
    }
    auto const deadline = earliest_deadline();
    if (m_next_check && *m_next_check <= deadline)
    {
        return;
    }
    m_next_check = deadline;
    m_reply_timer.expires_after(
        std::max(deadline - state::clock::now(), state::duration(1)));
    m_reply_timer.async_wait(
        [connection = weak_from_this()](error_code error)
        {
            auto const self = connection.lock();
            if (!error && self)
            {
                self->check_deadlines();
            }
        });
}

void member_connection::check_deadlines()
{
    m_next_check.reset();
    if (!m_ended && !m_outstanding.empty() &&
        state::clock::now() >= earliest_deadline())
    {
        m_overdue = true;
        end();
        return;
    }
    await_replies();
}

void member_connection::read()
{
    m_socket.async_read_some(
        asio::buffer(m_read_buffer),
        [self = shared_from_this()](error_code error, std::size_t count)
        {
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
            self->process_lines();
            if (!self->m_ended)
            {
                self->read();
            }
        });
}

void member_connection::process_lines()
{
    while (!m_ended)
    {
        auto const line = m_lines.next();
        if (!line)
        {
            break;
        }
        process_line(*line);
    }
    if (m_lines.broken())
    {
        end();
    }
}

void member_connection::process_line(std::string const& line)
{
    if (m_opening)
    {
        handle_opening_line(line);
        return;
    }
    auto const progress = m_parser.add(line);
    if (progress == platform::member_reply_parser::progress::broken ||
        m_outstanding.empty())
    {
        end();
        return;
    }
    if (progress == platform::member_reply_parser::progress::complete)
    {
        auto const done = std::move(m_outstanding.front().m_done);
        m_outstanding.pop_front();
        m_last_used = state::clock::now();
        done(m_parser.take());
    }
}

void member_connection::close()
{
    end();
}

void member_connection::end()
{
    if (m_ended)
    {
        return;
    }
    auto const self = shared_from_this();
    m_ended = true;
    m_open = false;
    error_code ignored; // the connection ends in any case
    m_socket.close(ignored);
    m_opening_timer.cancel();
    m_reply_timer.cancel();
    if (m_opening)
    {
        auto const failure = m_parser.partial()
                                 ? m_parser.take().m_failure
                                 : std::optional<state::statement_failure>();
        bool const full =
            failure && failure->m_error == state::statement_error::overload;
        bool const misrouted =
            failure && failure->m_error == state::statement_error::misrouted;
        finish_opening(full        ? opening_result::full
                       : misrouted ? opening_result::misrouted
                                   : opening_result::refused);
    }
    auto const outstanding = std::exchange(m_outstanding, {});
    if (auto const ended = std::exchange(m_on_end, nullptr))
    {
        ended();
    }
    for (auto const& each : outstanding)
    {
        each.m_done(std::nullopt);
    }
}

} // namespace camphortide::proxy
