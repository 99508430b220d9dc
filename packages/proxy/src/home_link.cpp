#include <algorithm>
#include <utility>

#include <boost/asio/io_context.hpp>

#include <camphortide/proxy/forwarding_conversion.hpp>
#include <camphortide/proxy/home_link.hpp>

namespace camphortide::proxy
{

namespace
{

/// Timeout for a new connection: a few round trips and one lost packet.
constexpr state::duration opening_timeout{400};
/// A home with unanswered statements that has sent nothing for this long is
/// pinged. Longer than most statements take.
constexpr state::duration ping_delay{250};
/// Timeout for the answer to a ping: allows for a lost packet and for a home
/// that waits to be scheduled on its processor.
constexpr state::duration ping_timeout{400};

} // namespace

home_link::home_link(boost::asio::io_context& context, std::string address)
    : m_context(context),
      m_address(std::move(address)),
      m_opening_timer(context)
{
}

void home_link::open()
{
    m_opening = true;
    m_stream = std::make_shared<message_stream>(
        boost::asio::ip::tcp::socket(m_context));
    m_opening_timer.expires_after(opening_timeout);
    m_opening_timer.async_wait(
        [self = shared_from_this()](boost::system::error_code error)
        {
            if (!error && !self->m_open)
            {
                self->end();
            }
        });
    m_stream->connect(m_address,
                      [self = shared_from_this()](bool ok)
                      {
                          if (self->m_ended)
                          {
                              return;
                          }
                          ok ? self->handle_opened() : self->end();
                      });
}

void home_link::handle_opened()
{
    m_open = true;
    m_opening_timer.cancel();
    m_stream->start(weak_from_this(), &home_link::handle_message,
                    &home_link::end);
    for (auto const& [number, pending] : m_outstanding)
    {
        send(number, pending);
    }
}

void home_link::submit(std::shared_ptr<statement_request> const& request,
                       result_handler done)
{
    if (m_ended)
    {
        done(forwarding_result::not_run, {});
        return;
    }
    auto const number = ++m_last_number;
    auto const it = m_outstanding.emplace(
        number, outstanding{request, std::move(done), state::clock::now()});
    if (m_open)
    {
        send(number, it.first->second);
    }
    else if (!m_opening)
    {
        open();
    }
}

void home_link::send(std::uint64_t number, outstanding const& pending)
{
    auto const& bound = pending.m_request->m_bound;
    m_stream->send(encode_statement(*pending.m_request, number,
                                    bound ? bound->m_transaction : 0,
                                    state::clock::now()));
}

void home_link::roll_back(std::uint64_t transaction)
{
    if (m_open && !m_ended)
    {
        v1::Message message;
        message.mutable_roll_back()->set_transaction(transaction);
        m_stream->send(message);
    }
}

void home_link::handle_message(v1::Message const& message)
{
    if (message.has_reply())
    {
        handle_reply(message.reply());
    }
    else if (message.has_leaving())
    {
        m_leaving = true;
    }
}

void home_link::handle_reply(v1::Reply const& reply)
{
    auto const it = m_outstanding.find(reply.number());
    if (it == m_outstanding.end())
    {
        return;
    }
    auto const pending = std::move(it->second);
    m_outstanding.erase(it);
    if (reply.not_run())
    {
        pending.m_done(forwarding_result::not_run, {});
        return;
    }
    auto result = decode_result(reply);
    if (!result)
    {
        pending.m_done(forwarding_result::lost, {});
        return;
    }
    if (reply.transaction() != 0)
    {
        bound_connection bound;
        bound.m_home = shared_from_this();
        bound.m_transaction = reply.transaction();
        result->m_bound = std::move(bound);
    }
    pending.m_done(forwarding_result::answered, std::move(*result));
}

void home_link::check_liveness(state::time_point now)
{
    if (!m_open || m_ended || m_outstanding.empty())
    {
        return;
    }
    auto const since = std::max(m_stream->last_received(),
                                m_outstanding.begin()->second.m_submitted_at);
    if (m_pinged > since)
    {
        if (now - m_pinged >= ping_timeout)
        {
            end();
        }
        return;
    }
    if (now - since >= ping_delay)
    {
        m_pinged = now;
        v1::Message message;
        message.mutable_ping();
        m_stream->send(message);
    }
}

void home_link::end()
{
    if (std::exchange(m_ended, true))
    {
        return;
    }
    auto const self = shared_from_this();
    m_opening_timer.cancel();
    if (m_stream)
    {
        m_stream->close();
    }
    auto const ended_as =
        m_open ? forwarding_result::lost : forwarding_result::not_run;
    for (auto const& [number, pending] : std::exchange(m_outstanding, {}))
    {
        pending.m_done(ended_as, {});
    }
}

} // namespace camphortide::proxy
