#pragma once

#include <functional>
#include <string>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include <camphortide/coordination/fleet/transfer_budget.hpp>
#include <camphortide/coordination/fleet/update_source.hpp>
#include <camphortide/coordination/group/jitter.hpp>
#include <camphortide/proxy/peer_updates.hpp>
#include <camphortide/proxy/store_client.hpp>
#include <camphortide/proxy/update_statistics.hpp>

namespace camphortide::proxy
{

/// Follows all objects of a kind, from the store or from a relay, and serves
/// them to other instances. From the store it lists the objects, watches for
/// changes, and lists again when the store no longer has the history. From a
/// relay it requests that instance's cached objects along with their age.
///
/// A store that comes back from an older copy gives out revisions again. From
/// the first response of the new era on, those of earlier eras are dropped, and
/// nothing is taken from the new era before all of its objects.
///
/// A relay's link may be slow, so it sends large objects as references, which
/// the other instances read from the store. Only to instances that the store
/// doesn't answer it sends them whole, within a budget.
class object_watch
{
public:
    /// A change of the objects.
    struct update
    {
        std::vector<platform::store_object> m_objects;
        /// The update holds all objects; any other object doesn't exist.
        bool m_snapshot = false;
        state::store_revision m_revision;
        /// When the request to the store was sent.
        state::time_point m_requested_at;
        /// All objects are verified to be at least as new as m_requested_at.
        bool m_verified = false;
    };

    using update_handler = std::function<void(update const&)>;
    /// @param outcome outcome of the failed request; done when requests
    ///     succeed again or come from another source
    /// @param peer relay that received the request; empty: the store
    using status_handler = std::function<void(platform::store_outcome outcome,
                                              std::string const& peer)>;
    using responder = std::function<void(platform::http_response)>;

    /// @param wait how long the store holds a watch request without changes
    /// @param relist maximum time between two listings, because a listing
    ///     verifies all objects and a watch without changes doesn't; zero: list
    ///     only when necessary
    /// @param process start time of this process
    /// @param budget bandwidth for large responses to other instances
    object_watch(boost::asio::io_context& context, store_client& store,
                 platform::object_kind kind, state::duration wait,
                 state::duration relist, std::uint64_t process,
                 coordination::transfer_budget& budget);

    /// Starts following the objects.
    void start(update_handler on_update, status_handler on_status);

    /// Sets the sources of the next requests, by preference.
    void set_order(coordination::update_source_order order)
    {
        m_source.set_order(std::move(order));
    }

    /// Responds to another instance, immediately or when there is an update.
    void serve(update_request const& request, responder respond);

    /// Responds to pending requests whose wait is over.
    void tick(state::time_point now);

    /// @return when the last successful request to the store was sent, by this
    ///     instance or by the relay
    state::time_point last_success() const { return m_last_success; }

    /// @return when the store last responded successfully, to this instance or
    ///     to the relay
    state::time_point last_response() const { return m_last_response; }

    update_statistics const& statistics() const { return m_statistics; }

private:
    /// Another instance's request that waits for an update.
    struct pending_request
    {
        update_request m_request;
        state::time_point m_deadline;
        responder m_respond;
        /// When a large response is sent; nothing: there is no update yet.
        std::optional<state::time_point> m_send_at = {};
    };

    /// A relay's response while the objects that it refers to are read.
    struct partial_update
    {
        coordination::update_relay m_relay;
        update_response m_response;
        state::time_point m_sent;
        state::time_point m_fetch_started = {};
    };

    void request_from_relay(coordination::update_relay const& relay);
    void relay_request_completed(coordination::update_relay const& relay,
                                 request_result const& result,
                                 state::time_point sent);
    void relay_update_received(partial_update received);
    bool usable(update_response const& response) const;
    std::vector<object_reference> resolve_references(change_page& page) const;
    void
    fetch_completed(partial_update received,
                    std::optional<std::vector<platform::store_object>> objects);
    void apply_relay_update(partial_update const& received);
    change_page page_for(update_request const& request) const;
    void respond_or_hold(pending_request waiting, change_page page);
    void apply_update(update const& value);
    void answer_pending(bool newly_verified);
    void answer_due(pending_request waiting, state::time_point now);
    void send_response(responder const& respond, change_page page);
    /// @return the maximum age of objects that are passed on
    state::duration max_age() const;
    void list(std::string const& after);
    void list_completed(platform::store_outcome outcome,
                        std::optional<platform::http_response> const& response);
    void request_next();
    void watch();
    void
    watch_completed(platform::store_outcome outcome,
                    std::optional<platform::http_response> const& response);
    void
    request_failed(platform::store_outcome outcome,
                   std::optional<coordination::update_relay> const& relay = {});
    void request_succeeded(
        std::optional<coordination::update_relay> const& relay = {});

    boost::asio::io_context& m_context;
    store_client& m_store;
    platform::object_kind m_kind;
    state::duration m_wait;
    state::duration m_relist;
    /// When the last listing was requested.
    state::time_point m_last_listing;
    boost::asio::steady_timer m_timer;
    coordination::jitter m_jitter;
    update_handler m_on_update;
    status_handler m_on_status;
    update m_listing;
    /// Revision up to which changes are known.
    state::store_revision m_revision;
    /// The next request to the store lists the objects.
    bool m_must_list = true;
    state::time_point m_requested_at;
    state::time_point m_last_success;
    /// When the store last responded successfully, to this instance or to the
    /// relay.
    state::time_point m_last_response;
    state::duration m_backoff{};
    bool m_failing = false;
    coordination::update_source m_source;
    /// Client of the last relay.
    std::shared_ptr<http_client> m_relay_client;
    /// Relay that m_relay_cursor belongs to.
    std::string m_relay_name;
    change_cursor m_relay_cursor;
    /// The next request to a relay asks for all objects.
    bool m_request_snapshot = false;
    /// Relay of the last update; empty: the store.
    std::string m_current_source;
    object_cache m_cache;
    /// Time as of which all objects were last verified.
    state::time_point m_verified_at;
    std::vector<pending_request> m_pending;
    update_statistics m_statistics;
    coordination::transfer_budget& m_budget;
};

} // namespace camphortide::proxy
