#include <algorithm>
#include <iterator>
#include <utility>

#include <camphortide/transport/peers/peer_queue.hpp>

namespace camphortide::transport
{

peer_queue::peer_queue(std::size_t max_per_delivery)
    : m_max_per_delivery(max_per_delivery)
{
}

std::size_t& peer_queue::count_of(delivery value)
{
    return value == delivery::droppable ? m_droppable : m_reported;
}

std::optional<peer_message> peer_queue::push(peer_message message)
{
    auto& count = count_of(message.m_delivery);
    if (count < m_max_per_delivery)
    {
        ++count;
        m_messages.push_back(std::move(message));
        return std::nullopt;
    }
    if (message.m_delivery == delivery::reported)
    {
        return message;
    }
    auto const oldest =
        std::find_if(m_messages.begin(), m_messages.end(),
                     [](peer_message const& each)
                     { return each.m_delivery == delivery::droppable; });
    if (oldest == m_messages.end())
    {
        return message;
    }
    peer_message dropped = std::move(*oldest);
    m_messages.erase(oldest);
    m_messages.push_back(std::move(message));
    return dropped;
}

peer_message const* peer_queue::front() const
{
    return m_messages.empty() ? nullptr : &m_messages.front();
}

void peer_queue::pop()
{
    --count_of(m_messages.front().m_delivery);
    m_messages.pop_front();
}

std::vector<peer_message> peer_queue::expire(state::time_point now)
{
    auto const first_expired = std::stable_partition(
        m_messages.begin(), m_messages.end(),
        [now](peer_message const& each) {
            return each.m_delivery == delivery::droppable ||
                   each.m_expires > now;
        });
    std::vector<peer_message> expired(
        std::make_move_iterator(first_expired),
        std::make_move_iterator(m_messages.end()));
    m_messages.erase(first_expired, m_messages.end());
    m_reported -= expired.size();
    return expired;
}

std::vector<peer_message> peer_queue::clear()
{
    auto reported = expire(state::time_point::max());
    m_messages.clear();
    m_droppable = 0;
    return reported;
}

} // namespace camphortide::transport
