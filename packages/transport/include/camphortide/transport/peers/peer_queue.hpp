#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

#include <camphortide/transport/peers/peer_message.hpp>

namespace camphortide::transport
{

/// The bounded queue of messages to one peer. A reported message is never
/// dropped to make room for a droppable one.
class peer_queue
{
public:
    /// @param max_per_delivery the maximum number of queued messages of each
    ///     kind of delivery
    explicit peer_queue(std::size_t max_per_delivery);

    /// Adds a message.
    /// @return the message that is rejected or dropped because the queue is
    ///     full: the new one if it is reported, else the oldest droppable one
    std::optional<peer_message> push(peer_message message);

    /// @return the next message to send; null if the queue is empty
    peer_message const* front() const;

    /// Removes the next message. The queue must not be empty.
    void pop();

    /// Removes the reported messages that have expired.
    /// @return the removed messages, oldest first
    std::vector<peer_message> expire(state::time_point now);

    /// Removes all messages.
    /// @return the reported ones, oldest first
    std::vector<peer_message> clear();

    bool empty() const { return m_messages.empty(); }
    std::size_t size() const { return m_messages.size(); }

private:
    std::size_t& count_of(delivery value);

    std::size_t m_max_per_delivery;
    std::deque<peer_message> m_messages; ///< in order of arrival
    std::size_t m_droppable = 0;
    std::size_t m_reported = 0;
};

} // namespace camphortide::transport
