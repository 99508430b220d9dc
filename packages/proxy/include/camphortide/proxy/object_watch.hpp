#pragma once

#include <functional>
#include <string>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include <camphortide/coordination/fleet/update_source.hpp>
#include <camphortide/coordination/group/jitter.hpp>
#include <camphortide/proxy/peer_news.hpp>
#include <camphortide/proxy/store_client.hpp>

namespace camphortide::proxy
{

/// Follows all objects of a kind. Where it asks the store, it lists them, then
/// watches for changes, and lists again when the store has dropped its history.
/// Where it asks another instance, it takes what that one knows, with its age.
/// Tells others in turn.
class object_watch
{
public:
    /// What was learnt, and as of when.
    struct news
    {
        std::vector<platform::store_object> m_objects;
        bool m_whole = false; ///< what isn't in it doesn't exist
        std::uint64_t m_revision = 0;
        state::time_point m_asked; ///< of the call to the store
        /// all that is known now is at least as new as m_asked
        bool m_proves = false;
    };

    using news_handler = std::function<void(news const&)>;
    /// @param outcome of a call that failed; done when calls succeed again
    /// @param peer that was asked; empty: the store
    using state_handler = std::function<void(platform::store_outcome outcome,
                                             std::string const& peer)>;
    using responder = std::function<void(platform::http_response)>;

    /// @param wait how long the store holds a watch without news
    /// @param relist how often to list nevertheless: a listing proves what
    ///     is, a watch without news doesn't; zero: only when it has to be
    /// @param process when this process started
    object_watch(boost::asio::io_context& context, store_client& store,
                 platform::object_kind kind, state::duration wait,
                 state::duration relist, std::uint64_t process);

    /// Begins.
    void start(news_handler on_news, state_handler on_state);

    /// Sets whom to ask from the next call on.
    void set_order(coordination::update_source_order order)
    {
        m_source.set_order(std::move(order));
    }

    /// Answers another instance, now or when there is news.
    void serve(news_request const& request, responder done);

    /// Ends waits of other instances that are over.
    void tick(state::time_point now);

    /// @return when the last call to the store was sent that succeeded, here
    ///     or at the instance that was asked
    state::time_point last_success() const { return m_last_success; }

private:
    /// Another instance that waits for news.
    struct waiting
    {
        news_cursor m_cursor;
        state::time_point m_until;
        responder m_done;
    };

    void ask_peer(coordination::update_relay const& peer);
    void peer_answered(coordination::update_relay const& peer,
                       call_result const& result, state::time_point sent);
    bool use_peer_news(coordination::update_relay const& peer,
                       news_response const& response, state::time_point sent);
    void take(news const& value);
    void answer_waiting(bool newer_proof);
    void answer(responder const& done, mirror_page page) const;
    /// @return the age from which on news are too old to be passed on
    state::duration longest_age() const;
    void list(std::string const& after);
    void listed(platform::store_outcome outcome,
                std::optional<platform::http_response> const& answer);
    void go_on();
    void watch();
    void watched(platform::store_outcome outcome,
                 std::optional<platform::http_response> const& answer);
    void failed(platform::store_outcome outcome,
                std::optional<coordination::update_relay> const& asked = {});
    void succeeded(std::optional<coordination::update_relay> const& asked = {});

    boost::asio::io_context& m_context;
    store_client& m_store;
    platform::object_kind m_kind;
    state::duration m_wait;
    state::duration m_relist;
    state::time_point m_listed; ///< when the last listing was asked for
    boost::asio::steady_timer m_timer;
    coordination::jitter m_jitter;
    news_handler m_on_news;
    state_handler m_on_state;
    news m_listing;
    std::uint64_t m_revision = 0; ///< 0: list first
    state::time_point m_asked;
    state::time_point m_last_success;
    state::time_point m_heard; ///< when the last call succeeded
    state::duration m_pause{};
    bool m_failing = false;
    coordination::update_source m_source;
    std::shared_ptr<http_client> m_peer; ///< that was asked last
    std::string m_peer_name;             ///< whose cursor the next one is
    news_cursor m_peer_cursor;
    std::string m_heard_from; ///< peer of the last news; empty: the store
    object_mirror m_mirror;
    state::time_point m_proven; ///< of the last news that prove
    std::vector<waiting> m_waiting;
};

} // namespace camphortide::proxy
