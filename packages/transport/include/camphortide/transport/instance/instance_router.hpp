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

/// Takes requests to a home of their group: to this instance where it is one,
/// else over the peers' protocol. Goes on to another home where that is safe.
class instance_router final : public request_router
{
public:
    /// @param self the name of this instance
    /// @param homes and the client outlive this
    instance_router(std::string self, home_registry const& homes,
                    forward_client& client);

    void submit(group_request request, reply_handler done) override;

    /// Serves a request that another instance forwarded.
    void serve_forwarded(group_request request, reply_handler done);

    /// Tries again what waits for a home.
    void tick(state::time_point now);

private:
    /// A request on its way, with the homes that failed it.
    struct routed_request
    {
        group_request m_request;
        reply_handler m_done;
        std::vector<std::string> m_attempted_homes;
        bool m_may_have_run = false;
        bool m_retried_for_share = false; ///< a second home, for a limit's sake
        state::time_point m_retry_at;
        std::optional<state::time_point> m_forwarded_at; ///< at the last try
    };
    using routed_request_ptr = std::shared_ptr<routed_request>;

    /// @return the gateway here that takes the request; null if there is none
    std::shared_ptr<group_gateway> find(group_request const& request) const;
    void route(routed_request_ptr const& routed);
    void forward(routed_request_ptr const& routed, std::string const& home);
    void on_reply(routed_request_ptr const& routed, std::string const& home,
                  forward_result result, group_reply reply);
    /// @return true if a home that refused by a limit may be followed by
    ///     another: that happens once for a request
    bool may_retry_for_share(routed_request const& routed,
                             std::string const& home) const;
    void try_next_home(routed_request_ptr const& routed);
    void fail(routed_request_ptr const& routed, state::outcome outcome,
              state::reason why);
    void enqueue_retry(routed_request_ptr const& routed);
    /// @return the homes to try, the preferred one first
    std::vector<std::string> candidates(routed_request const& routed) const;
    std::string choose_home(routed_request const& routed);
    bool is_in_cooldown(std::string const& home);
    void record_result(std::string const& home, forward_result result);

    std::string const m_self;
    home_registry const& m_homes;
    forward_client& m_client;
    std::mutex m_mutex;
    std::deque<routed_request_ptr> m_retry_queue;
    /// homes that did not answer, and until when they are left out
    std::map<std::string, state::time_point, std::less<>> m_cooldowns;
};

} // namespace camphortide::transport
