#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <camphortide/coordination/fleet/catalogue_follower.hpp>
#include <camphortide/coordination/fleet/home_table.hpp>
#include <camphortide/coordination/fleet/membership.hpp>
#include <camphortide/coordination/fleet/stop_list_follower.hpp>
#include <camphortide/peer/v1/peer.pb.h>
#include <camphortide/protocol/protobuf_catalogue_codec.hpp>

/// A call to the platform's store.
struct store_call
{
    enum class kind
    {
        watch,
        end_watch,
        head,
        chunk,
        stops
    };

    kind m_kind = kind::head;
    std::string m_chunk;
};

/// Activity of a node since its counts were reset.
struct node_counts
{
    std::size_t m_bytes_sent = 0;
    std::size_t m_bytes_received = 0;
    std::size_t m_messages_sent = 0;
    std::size_t m_store_calls = 0;
    std::size_t m_store_bytes = 0;
    double m_cpu_seconds = 0;
};

/// Simulates the control plane of one instance: membership, catalogue, planned
/// stops and homes. Messages are exchanged in their wire format.
class simulated_node
{
public:
    using time_point = camphortide::state::time_point;

    /// Overhead of a message in bytes: ZeroMQ frame, TCP and IP headers.
    static constexpr std::size_t message_overhead = 60;

    /// Sends bytes to an address.
    using send_function = std::function<void(std::string const&, std::string)>;
    /// Starts a call to the store.
    using store_call_function = std::function<void(store_call)>;

    simulated_node(camphortide::state::instance_record const& self,
                   std::vector<std::string> seeds, std::uint64_t seed,
                   time_point now, send_function send,
                   store_call_function call);

    void tick(time_point now);
    void receive(std::string const& bytes, time_point now);
    void on_head(std::string const& bytes, time_point now);
    void on_chunk(std::string const& name, std::string const* bytes,
                  time_point now);
    void on_stops(std::uint64_t version, time_point now);
    void on_store_failure(time_point now);
    void leave(time_point now);

    camphortide::coordination::membership const& members() const
    {
        return m_membership;
    }
    camphortide::coordination::catalogue_follower const& follower() const
    {
        return m_follower;
    }
    std::optional<camphortide::state::catalogue> const& catalogue() const
    {
        return m_catalogue;
    }
    std::size_t groups_at_home() const { return m_groups_at_home; }
    node_counts& counts() { return m_counts; }

private:
    class cpu_timer;

    void send(std::string const& address,
              camphortide::peer::v1::Envelope const& message);
    void send_to_peer(std::string const& peer,
                      camphortide::peer::v1::Envelope const& message);
    void
    execute(std::vector<camphortide::coordination::outgoing_heartbeat> const&
                actions);
    void execute(
        camphortide::coordination::catalogue_follower::actions const& actions);
    void execute(
        camphortide::coordination::stop_list_follower::actions const& actions);
    void dispatch(camphortide::peer::v1::Envelope const& message,
                  time_point now);
    void refresh_view(time_point now);
    void apply(camphortide::coordination::apply_catalogue const& action);
    camphortide::peer::v1::Envelope envelope() const;

    camphortide::state::instance_record m_self;
    camphortide::protocol::protobuf_catalogue_codec m_codec;
    camphortide::coordination::membership m_membership;
    camphortide::coordination::catalogue_follower m_follower;
    camphortide::coordination::stop_list_follower m_stops;
    camphortide::coordination::home_table m_homes;
    std::optional<camphortide::state::catalogue> m_catalogue;
    std::size_t m_groups_at_home = 0;
    std::map<std::string, std::string> m_addresses;
    std::uint64_t m_revision = 0;
    bool m_was_watcher = false;
    time_point m_next_refresh;
    send_function m_send;
    store_call_function m_call;
    node_counts m_counts;
};
