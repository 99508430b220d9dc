#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

#include <camphortide/transport/gateway/group_request.hpp>
#include <camphortide/transport/instance/peer_exchange.hpp>

namespace camphortide::transport
{

/// How the forwarding of a request ended.
enum class forward_result
{
    replied,
    not_sent,    ///< proved: no home saw it
    unresponsive ///< sent, and no answer came in time or the home is gone
};

/// Sends requests to homes and matches their replies.
class forward_client
{
public:
    using handler = std::function<void(forward_result, group_reply)>;

    /// @param exchange outlives this
    explicit forward_client(peer_exchange& exchange) : m_exchange(exchange) {}

    /// Forwards a request.
    /// @param home the name of the instance
    /// @param give_up when the wait for the answer ends
    /// @param done is called once, on any thread
    void forward(std::string const& home, group_request const& request,
                 state::time_point reply_deadline, handler done);

    /// Takes a home's reply.
    void reply_received(peer::v1::ForwardReply const& reply);

    /// Takes the word that a request was not sent.
    void request_undelivered(std::uint64_t number);

    /// Gives up what waits for an instance that is gone.
    void instance_gone(std::string const& name);

    /// Gives up what waits too long.
    void tick(state::time_point now);

    /// @return requests that wait for an answer
    std::size_t pending_count() const;

private:
    struct pending
    {
        std::string m_home;
        state::time_point m_reply_deadline;
        handler m_done;
    };

    void finish(std::uint64_t number, forward_result result, group_reply reply);

    peer_exchange& m_exchange;
    mutable std::mutex m_mutex;
    std::unordered_map<std::uint64_t, pending> m_pending;
    std::multimap<state::time_point, std::uint64_t> m_deadlines;
    std::uint64_t m_last_number = 0;
};

} // namespace camphortide::transport
