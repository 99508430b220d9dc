#include <utility>

#include <camphortide/transport/instance/forward_client.hpp>
#include <camphortide/transport/instance/forward_conversion.hpp>

namespace camphortide::transport
{

void forward_client::forward(std::string const& home,
                             group_request const& request,
                             state::time_point give_up, handler done)
{
    std::uint64_t number = 0;
    {
        std::scoped_lock const lock(m_mutex);
        number = ++m_last_number;
        m_pending.emplace(number, pending{home, give_up, std::move(done)});
        m_deadlines.emplace(give_up, number);
    }
    peer::v1::Envelope envelope;
    auto& message = *envelope.mutable_forward_request();
    message = to_proto(request, state::clock::now());
    message.set_number(number);
    if (!m_exchange.send_reported(home, std::move(envelope), number, give_up))
    {
        undelivered(number);
    }
}

void forward_client::answered(peer::v1::ForwardReply const& reply)
{
    finish(reply.number(), forward_result::answered, from_proto(reply));
}

void forward_client::undelivered(std::uint64_t number)
{
    finish(number, forward_result::not_sent, {});
}

void forward_client::instance_gone(std::string const& name)
{
    std::vector<std::uint64_t> lost;
    {
        std::scoped_lock const lock(m_mutex);
        for (auto const& [number, waiting] : m_pending)
        {
            if (waiting.m_home == name)
            {
                lost.push_back(number);
            }
        }
    }
    for (auto const number : lost)
    {
        finish(number, forward_result::silent, {});
    }
}

void forward_client::tick(state::time_point now)
{
    std::vector<std::uint64_t> late;
    {
        std::scoped_lock const lock(m_mutex);
        auto const end = m_deadlines.upper_bound(now);
        for (auto it = m_deadlines.begin(); it != end; ++it)
        {
            late.push_back(it->second);
        }
        m_deadlines.erase(m_deadlines.begin(), end);
    }
    for (auto const number : late)
    {
        finish(number, forward_result::silent, {});
    }
}

std::size_t forward_client::waiting() const
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
