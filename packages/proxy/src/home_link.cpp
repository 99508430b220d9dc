#include <algorithm>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>

#include <camphortide/proxy/forwarding_conversion.hpp>
#include <camphortide/proxy/home_link.hpp>

namespace camphortide::proxy
{

using coordination::link_failure;

namespace
{

/// Timeout for a new connection: a few round trips and one lost packet.
constexpr state::duration opening_timeout{400};
/// How long statements wait for a link to open: a few round trips.
constexpr state::duration opening_patience{80};
/// A home with unanswered statements that has sent nothing for this long is
/// pinged: about the duration of a statement, so that few pings are sent.
constexpr state::duration ping_delay{50};
/// A home that doesn't answer a ping for this long is suspect: a few round
/// trips, and the time that a host without processor time left waits for more.
constexpr state::duration suspect_timeout{120};
/// Timeout for the answer to a ping, after which the link is closed and the
/// outcome of its writes is in doubt: allows for a lost packet, too.
constexpr state::duration ping_timeout{400};

} // namespace

home_link::home_link(boost::asio::io_context& context, std::string address,
                     end_handler ended)
    : m_context(context),
      m_address(std::move(address)),
      m_on_ended(std::move(ended)),
      m_opening_timer(context)
{
}

void home_link::open()
{
    if (m_opening || m_ended)
    {
        return;
    }
    m_opening = true;
    m_opening_since = state::clock::now();
    m_stream = std::make_shared<message_stream>(
        boost::asio::ip::tcp::socket(m_context));
    m_opening_timer.expires_after(opening_timeout);
    m_opening_timer.async_wait(
        [self = shared_from_this()](boost::system::error_code error)
        {
            if (!error && !self->m_open)
            {
                self->end(link_failure::silent);
            }
        });
    m_stream->connect(m_address,
                      [self = shared_from_this()](bool ok)
                      {
                          if (self->m_ended)
                          {
                              return;
                          }
                          ok ? self->handle_opened()
                             : self->end(link_failure::ended);
                      });
}

void home_link::handle_opened()
{
    m_open = true;
    m_suspect = false;
    m_opening_timer.cancel();
    m_stream->start(weak_from_this(), &home_link::handle_message,
                    &home_link::handle_stream_ended);
    ping();
    for (auto const& [number, pending] : m_outstanding)
    {
        send(number, pending);
    }
    for (auto const& message : std::exchange(m_unsent, {}))
    {
        m_stream->send(message);
    }
}

void home_link::send_message(v1::Message message)
{
    if (m_ended)
    {
        return;
    }
    if (m_open)
    {
        m_stream->send(message);
        return;
    }
    m_unsent.push_back(std::move(message));
    open();
}

void home_link::request_allowance(v1::Message message, allowance_handler done)
{
    if (m_ended)
    {
        done(nullptr);
        return;
    }
    auto const number = ++m_last_number;
    message.mutable_allowance_request()->set_number(number);
    m_allowance_requests.emplace(number, std::move(done));
    send_message(std::move(message));
}

void home_link::submit(std::shared_ptr<statement_request> const& request,
                       result_handler done)
{
    if (m_ended)
    {
        done(forwarding_result::not_sent, {});
        return;
    }
    auto const number = ++m_last_number;
    auto const it = m_outstanding.emplace(
        number, outstanding{request, std::move(done), state::clock::now()});
    if (m_open)
    {
        send(number, it.first->second);
    }
    else
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

void home_link::handle_stream_ended()
{
    end(link_failure::ended);
}

void home_link::handle_message(v1::Message const& message)
{
    m_responded = true;
    m_suspect = false;
    if (message.has_reply())
    {
        handle_reply(message.reply());
    }
    else if (message.has_leaving())
    {
        m_leaving = true;
    }
    else if (message.has_allowance_reply())
    {
        auto const& reply = message.allowance_reply();
        if (auto const entry = m_allowance_requests.extract(reply.number()))
        {
            entry.mapped()(&reply);
        }
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
        pending.m_done(forwarding_result::not_home, {});
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
    if (!needs_check())
    {
        return;
    }
    if (!m_open)
    {
        check_opening(now);
        return;
    }
    auto const last_received = m_stream->last_received();
    auto const since =
        m_outstanding.empty()
            ? last_received
            : std::max(last_received,
                       m_outstanding.begin()->second.m_submitted_at);
    if (m_pinged > since)
    {
        if (now - m_pinged >= ping_timeout)
        {
            end(link_failure::silent);
        }
        else if (now - m_pinged >= suspect_timeout)
        {
            m_suspect = true;
            return_outstanding(forwarding_result::lost,
                               [](outstanding const& pending) {
                                   return pending.m_request->m_kind ==
                                          coordination::sent_kind::single_read;
                               });
        }
        return;
    }
    if (now - since >= ping_delay)
    {
        ping();
    }
}

void home_link::ping()
{
    m_pinged = state::clock::now();
    v1::Message message;
    message.mutable_ping();
    m_stream->send(message);
}

void home_link::check_opening(state::time_point now)
{
    if (now - m_opening_since >= opening_patience)
    {
        m_suspect = true;
        return_outstanding(forwarding_result::not_sent,
                           [](outstanding const&) { return true; });
    }
}

template <typename Predicate>
void home_link::return_outstanding(forwarding_result result,
                                   Predicate const& returned)
{
    auto const self = shared_from_this();
    std::vector<result_handler> handlers;
    for (auto it = m_outstanding.begin(); it != m_outstanding.end();)
    {
        if (returned(it->second))
        {
            handlers.push_back(std::move(it->second.m_done));
            it = m_outstanding.erase(it);
        }
        else
        {
            ++it;
        }
    }
    for (auto const& done : handlers)
    {
        done(result, {});
    }
}

void home_link::end(link_failure failure)
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
    m_on_ended(failure);
    for (auto const& entry : std::exchange(m_allowance_requests, {}))
    {
        entry.second(nullptr);
    }
    return_outstanding(m_open ? forwarding_result::lost
                              : forwarding_result::not_sent,
                       [](outstanding const&) { return true; });
}

} // namespace camphortide::proxy
