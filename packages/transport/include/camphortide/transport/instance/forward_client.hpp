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

/// The result of forwarding a request.
enum class forward_result
{
    replied,
    not_sent,    ///< certain: the home did not receive it
    unresponsive ///< sent; no reply in time, or the home is gone
};

/// Sends requests to homes and matches their replies. May be used from any
/// thread.
class forward_client
{
public:
    using handler = std::function<void(forward_result, group_reply)>;

    /// @param exchange must outlive this object
    explicit forward_client(peer_exchange& exchange) : m_exchange(exchange) {}

    /// Forwards a request to a home.
    /// @param home the instance's name
    /// @param reply_deadline end of the wait for the reply
    /// @param done called exactly once, on any thread
    void forward(std::string const& home, group_request const& request,
                 state::time_point reply_deadline, handler done);

    /// Handles a home's reply.
    void reply_received(peer::v1::ForwardReply const& reply);

    /// Handles the report that a request was not sent.
    /// @param number of the request
    void request_undelivered(std::uint64_t number);

    /// Ends the requests that are pending at an instance that is gone.
    void instance_gone(std::string const& name);

    /// Ends the requests whose reply deadline has passed.
    void tick(state::time_point now);

    /// @return the number of requests without a reply
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
