#pragma once

#include <functional>
#include <memory>
#include <string>

#include <camphortide/coordination/fleet/catalogue_follower.hpp>
#include <camphortide/protocol/protobuf_catalogue_codec.hpp>
#include <camphortide/transport/instance/control_loop.hpp>
#include <camphortide/transport/instance/peer_exchange.hpp>
#include <camphortide/transport/platform/platform_client.hpp>

namespace camphortide::transport
{

/// Runs the catalogue follower on the control thread: executes its store calls,
/// sends its messages and passes each applied version to a handler.
class catalogue_control
{
public:
    using catalogue_handler =
        std::function<void(std::shared_ptr<state::catalogue const>)>;

    /// @param on_catalogue called with each version that comes into force
    catalogue_control(coordination::catalogue_follower_settings const& settings,
                      std::string const& self, std::uint64_t seed,
                      peer_exchange& exchange, platform_client* platform,
                      control_loop& loop, catalogue_handler on_catalogue);

    /// Executes the follower's actions that are due.
    void tick(state::time_point now);

    /// Updates the view of the instances.
    void on_view(std::vector<state::instance_record> const& view, bool joined);

    /// Handles the version that a peer announces in a heartbeat or an offer.
    void on_offer(std::string const& peer,
                  coordination::catalogue_offer const& offer);

    /// Handles a peer's request for parts of the catalogue.
    void on_request(std::string const& peer,
                    coordination::catalogue_request const& request);

    /// Handles parts of the catalogue that a peer sent.
    void on_parts(std::string const& peer, coordination::catalogue_parts parts);

    coordination::catalogue_follower const& follower() const
    {
        return m_follower;
    }

private:
    void perform(coordination::catalogue_follower::actions const& actions);
    void perform(coordination::start_watch const& action);
    void perform(coordination::stop_watch const& action);
    void perform(coordination::get_head const& action);
    void perform(coordination::get_chunk const& action);
    void perform(coordination::send_offer const& action);
    void perform(coordination::send_request const& action);
    void perform(coordination::send_parts const& action);
    void perform(coordination::apply_catalogue const& action);
    void process_head(std::string const& value);
    void handle_store_failure();

    protocol::protobuf_catalogue_codec m_codec;
    coordination::catalogue_follower m_follower;
    peer_exchange& m_exchange;
    platform_client* const m_platform;
    control_loop& m_loop;
    catalogue_handler const m_on_catalogue;
    std::unique_ptr<platform_watch> m_watch;
};

} // namespace camphortide::transport
