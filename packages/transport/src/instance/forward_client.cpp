#include <utility>

#include <camphortide/transport/instance/forward_client.hpp>
#include <camphortide/transport/instance/forward_conversion.hpp>

namespace camphortide::transport
{

void forward_client::forward(std::string const& home,
                             group_request const& request,
                             state::time_point reply_deadline, handler done)
{
    std::uint64_t number = 0;
    {
        std::scoped_lock const lock(m_mutex);
        number = ++m_last_number;
        m_pending.emplace(number,
                          pending{home, reply_deadline, std::move(done)});
        m_deadlines.emplace(reply_deadline, number);
    }
    peer::v1::Envelope envelope;
    auto& message = *envelope.mutable_forward_request();
    message = to_proto(request, state::clock::now());
    message.set_number(number);
    if (!m_exchange.send_reported(home, std::move(envelope), number,
                                  reply_deadline))
    {
        request_undelivered(number);
    }
}

void forward_client::reply_received(peer::v1::ForwardReply const& reply)
{
    finish(reply.number(), forward_result::replied, from_proto(reply));
}

void forward_client::request_undelivered(std::uint64_t number)
{
    finish(number, forward_result::not_sent, {});
}

void forward_client::instance_gone(std::string const& name)
{
    std::vector<std::uint64_t> lost;
    {
        std::scoped_lock const lock(m_mutex);
        for (auto const& [number, request] : m_pending)
        {
            if (request.m_home == name)
            {
                lost.push_back(number);
            }
        }
    }
    for (auto const number : lost)
    {
        finish(number, forward_result::unresponsive, {});
    }
}

void forward_client::tick(state::time_point now)
{
    std::vector<std::uint64_t> expired;
    {
        std::scoped_lock const lock(m_mutex);
        auto const end = m_deadlines.upper_bound(now);
        for (auto it = m_deadlines.begin(); it != end; ++it)
        {
            expired.push_back(it->second);
        }
        m_deadlines.erase(m_deadlines.begin(), end);
    }
    for (auto const number : expired)
    {
        finish(number, forward_result::unresponsive, {});
    }
}

std::size_t forward_client::pending_count() const
{
    std::scoped_lock const lock(m_mutex);
    return m_pending.size();
}

void forward_client::finish(std::uint64_t number, forward_result result,
                            group_reply reply)
{
    handler done;
    {
        std::scoped_lock const lock(m_mutex);
        auto const found = m_pending.find(number);
        if (found == m_pending.end())
        {
            return;
        }
        done = std::move(found->second.m_done);
        m_pending.erase(found);
    }
    done(result, std::move(reply));
}

} // namespace camphortide::transport
