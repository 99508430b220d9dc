#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <camphortide/transport/gateway/request_router.hpp>
#include <camphortide/transport/instance/forward_client.hpp>
#include <camphortide/transport/instance/home_registry.hpp>

namespace camphortide::transport
{

/// Routes requests to a home of their group: to this instance if it is one,
/// else over the peer protocol. Retries at another home where that is safe.
class instance_router final : public request_router
{
public:
    /// @param self the name of this instance
    /// @param homes must outlive this object, as must the client
    instance_router(std::string self, home_registry const& homes,
                    forward_client& client);

    void submit(group_request request, reply_handler done) override;

    /// Serves a request that another instance forwarded; forwards it again if
    /// this instance is not a home of the group.
    void serve_forwarded(group_request request, reply_handler done);

    /// Retries the requests that wait for a home, and ends those whose deadline
    /// has passed.
    void tick(state::time_point now);

private:
    /// A request that is being routed, with the homes that were attempted.
    struct routed_request
    {
        group_request m_request;
        reply_handler m_done;
        std::vector<std::string> m_attempted_homes;
        bool m_may_have_run = false;
        bool m_retried_for_share = false; ///< after a limit refused it
        state::time_point m_retry_at;
        std::optional<state::time_point> m_forwarded_at; ///< none if local
    };
    using routed_request_ptr = std::shared_ptr<routed_request>;

    /// @return the local gateway for the request; null if there is none
    std::shared_ptr<group_gateway> find(group_request const& request) const;
    void route(routed_request_ptr const& routed);
    void forward(routed_request_ptr const& routed, std::string const& home);
    void on_reply(routed_request_ptr const& routed, std::string const& home,
                  forward_result result, group_reply reply);
    /// @return true if a request that a home refused because of a limit may be
    ///     retried at another home; allowed once per request
    bool may_retry_for_share(routed_request const& routed,
                             std::string const& home) const;
    void try_next_home(routed_request_ptr const& routed);
    void fail(routed_request_ptr const& routed, state::outcome outcome,
              state::reason why);
    void enqueue_retry(routed_request_ptr const& routed);
    /// @return the homes not yet attempted, the preferred one first
    std::vector<std::string> candidates(routed_request const& routed) const;
    std::string choose_home(routed_request const& routed);
    bool is_in_cooldown(std::string const& home);
    void record_result(std::string const& home, forward_result result);

    std::string const m_self;
    home_registry const& m_homes;
    forward_client& m_client;
    std::mutex m_mutex;
    std::deque<routed_request_ptr> m_retry_queue;
    /// unresponsive homes, and the end of the cooldown of each
    std::map<std::string, state::time_point, std::less<>> m_cooldowns;
};

} // namespace camphortide::transport
