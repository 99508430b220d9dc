#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace camphortide::standin
{

/// A home or a member, as the sender or the receiver of a message.
struct node_id
{
    enum class kind
    {
        home,
        member
    };
    kind m_kind = kind::home;
    std::size_t m_index = 0;

    friend auto operator<=>(node_id const&, node_id const&) = default;
};

/// A message in flight.
struct message
{
    node_id m_from;
    node_id m_to;
    char const* m_name = "";
    bool m_may_duplicate = true; ///< false for streams, which deliver once
    std::function<void()> m_deliver;
};

/// All messages in flight, in no particular order.
class in_flight_messages
{
public:
    void add(message value) { m_messages.push_back(std::move(value)); }

    std::size_t size() const { return m_messages.size(); }

    message const& at(std::size_t index) const { return m_messages[index]; }

    /// Removes a message; the indexes of the others may change.
    message take(std::size_t index)
    {
        std::swap(m_messages[index], m_messages.back());
        auto result = std::move(m_messages.back());
        m_messages.pop_back();
        return result;
    }

private:
    std::vector<message> m_messages;
};

} // namespace camphortide::standin
