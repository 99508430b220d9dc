#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

#include <camphortide/transport/peers/peer_message.hpp>

namespace camphortide::transport
{

/// The bounded queue of messages that wait for one peer. Reported messages
/// are never dropped for droppable ones.
class peer_queue
{
public:
    /// @param most the most messages of each delivery that wait
    explicit peer_queue(std::size_t max_per_delivery);

    /// Adds a message.
    /// @return the message that is not sent for it: the new one if it is
    ///     reported and there are too many, or the oldest droppable one
    std::optional<peer_message> push(peer_message message);

    /// @return the message that goes next; null if none waits
    peer_message const* front() const;

    /// Removes the message that goes next.
    void pop();

    /// Removes the reported messages whose time is over.
    /// @return these messages, oldest first
    std::vector<peer_message> expire(state::time_point now);

    /// Removes all messages.
    /// @return the reported ones, oldest first
    std::vector<peer_message> clear();

    bool empty() const { return m_messages.empty(); }
    std::size_t size() const { return m_messages.size(); }

private:
    std::size_t& count_of(delivery value);

    std::size_t m_max_per_delivery;
    std::deque<peer_message> m_messages; ///< in the order of their arrival
    std::size_t m_droppable = 0;
    std::size_t m_reported = 0;
};

} // namespace camphortide::transport
