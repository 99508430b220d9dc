#pragma once

#include <functional>
#include <string>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include <camphortide/coordination/group/jitter.hpp>
#include <camphortide/proxy/store_client.hpp>

namespace camphortide::proxy
{

/// Follows all objects of a kind: lists them, then watches for changes, and
/// lists again when the store has dropped its history.
class object_watch
{
public:
    /// What was learnt, and as of when.
    struct news
    {
        std::vector<platform::store_object> m_objects;
        bool m_whole = false; ///< a listing: what isn't in it doesn't exist
        std::uint64_t m_revision = 0;
        state::time_point m_asked; ///< all is at least as new as this
    };

    using news_handler = std::function<void(news const&)>;
    /// @param outcome of a call that failed; done when calls succeed again
    using state_handler = std::function<void(platform::store_outcome outcome)>;

    /// @param wait how long the store holds a watch without news
    /// @param relist how often to list nevertheless: a listing proves what
    ///     is, a watch without news doesn't; zero: only when it has to be
    object_watch(boost::asio::io_context& context, store_client& store,
                 platform::object_kind kind, state::duration wait,
                 state::duration relist, std::uint64_t seed);

    /// Begins.
    void start(news_handler on_news, state_handler on_state);

    /// @return when the last call was sent that succeeded
    state::time_point last_success() const { return m_last_success; }

private:
    void list(std::string const& after);
    void listed(platform::store_outcome outcome,
                std::optional<platform::http_answer> const& answer);
    void go_on();
    void watch();
    void watched(platform::store_outcome outcome,
                 std::optional<platform::http_answer> const& answer);
    void failed(platform::store_outcome outcome);
    void succeeded();

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
    state::duration m_pause{};
    bool m_failing = false;
};

} // namespace camphortide::proxy
