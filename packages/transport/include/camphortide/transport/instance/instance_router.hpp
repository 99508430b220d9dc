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
    struct journey
    {
        group_request m_request;
        reply_handler m_done;
        std::vector<std::string> m_tried;
        bool m_may_have_run = false;
        bool m_asked_for_share = false; ///< a second home, for a limit's sake
        state::time_point m_retry_at;
        std::optional<state::time_point> m_forwarded; ///< at the last try
    };
    using journey_ptr = std::shared_ptr<journey>;

    /// @return the gateway here that takes the request; null if there is none
    std::shared_ptr<group_gateway> find(group_request const& request) const;
    void travel(journey_ptr const& on);
    void forward(journey_ptr const& on, std::string const& home);
    void returned(journey_ptr const& on, std::string const& home,
                  forward_result result, group_reply reply);
    /// @return true if a home that refused by a limit may be followed by
    ///     another: that happens once for a request
    bool may_ask_another(journey const& on, std::string const& home) const;
    void move_on(journey_ptr const& on);
    void end(journey_ptr const& on, state::outcome outcome, state::reason why);
    void wait(journey_ptr const& on);
    /// @return the homes to try, the preferred one first
    std::vector<std::string> candidates(journey const& on) const;
    std::string choose(journey const& on);
    bool is_avoided(std::string const& home);
    void note(std::string const& home, forward_result result);

    std::string const m_self;
    home_registry const& m_homes;
    forward_client& m_client;
    std::mutex m_mutex;
    std::deque<journey_ptr> m_waiting;
    /// homes that did not answer, and until when they are left out
    std::map<std::string, state::time_point, std::less<>> m_silent;
};

} // namespace camphortide::transport
