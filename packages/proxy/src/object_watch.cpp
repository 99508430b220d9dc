#include <algorithm>
#include <utility>

#include <camphortide/proxy/object_watch.hpp>

namespace camphortide::proxy
{

using platform::store_outcome;

namespace
{

/// First pause after a failed call; it doubles up to the longest. The longest
/// leaves a store that returns room to be found within the bounds.
constexpr state::duration first_pause{50};
constexpr state::duration longest_pause{400};
/// A proof that is younger by so much is told to others at once. What two
/// instances tell each other about one proof differs by less, so that they
/// don't answer each other without end.
constexpr state::duration least_proof_step{1000};

} // namespace

object_watch::object_watch(boost::asio::io_context& context,
                           store_client& store, platform::object_kind kind,
                           state::duration wait, state::duration relist,
                           std::uint64_t process)
    : m_context(context),
      m_store(store),
      m_kind(kind),
      m_wait(wait),
      m_relist(relist),
      m_timer(context),
      m_jitter(process + static_cast<std::uint64_t>(kind)),
      m_mirror(process)
{
}

void object_watch::start(news_handler on_news, state_handler on_state)
{
    m_on_news = std::move(on_news);
    m_on_state = std::move(on_state);
    list({});
}

void object_watch::list(std::string const& after)
{
    m_peer_name.clear(); // what it told is older than what is told now
    if (after.empty())
    {
        m_listing = {};
        m_listing.m_whole = true;
        m_listing.m_asked = state::clock::now();
    }
    m_store.call(platform::list_request(m_kind, after),
                 [this](store_outcome outcome,
                        std::optional<platform::http_response> const& answer)
                 { listed(outcome, answer); });
}

void object_watch::listed(store_outcome outcome,
                          std::optional<platform::http_response> const& answer)
{
    auto const page = outcome == store_outcome::done
                          ? platform::parse_page(*answer)
                          : std::nullopt;
    if (!page)
    {
        failed(outcome);
        return;
    }
    if (m_listing.m_revision == 0)
    {
        // Changes made while further pages are read come by the watch.
        m_listing.m_revision = page->m_revision;
    }
    m_listing.m_objects.insert(m_listing.m_objects.end(),
                               page->m_objects.begin(), page->m_objects.end());
    if (page->m_has_more && !page->m_objects.empty())
    {
        list(page->m_objects.back().m_name);
        return;
    }
    m_revision = m_listing.m_revision;
    m_last_success = m_listed = m_listing.m_asked;
    m_heard = state::clock::now();
    succeeded();
    m_listing.m_proves = true;
    take(std::exchange(m_listing, {}));
    go_on();
}

void object_watch::take(news const& value)
{
    m_mirror.take(value.m_objects, value.m_whole, value.m_revision);
    bool const newer =
        value.m_proves && value.m_asked >= m_proven + least_proof_step;
    if (value.m_proves)
    {
        m_proven = std::max(m_proven, value.m_asked);
    }
    m_on_news(value);
    answer_waiting(newer);
}

void object_watch::go_on()
{
    if (auto const peer = m_source.choose(state::clock::now()))
    {
        ask_peer(*peer);
        return;
    }
    bool const due =
        m_relist.count() > 0 && state::clock::now() - m_listed >= m_relist;
    if (m_revision == 0 || due)
    {
        list({});
    }
    else
    {
        watch();
    }
}

void object_watch::watch()
{
    m_peer_name.clear();
    m_asked = state::clock::now();
    m_store.call(
        platform::watch_request(m_kind, m_revision, m_wait.count()),
        [this](store_outcome outcome,
               std::optional<platform::http_response> const& answer)
        { watched(outcome, answer); },
        m_wait);
}

void object_watch::watched(store_outcome outcome,
                           std::optional<platform::http_response> const& answer)
{
    if (outcome == store_outcome::history_gone)
    {
        m_revision = 0;
        list({});
        return;
    }
    auto const page = outcome == store_outcome::done
                          ? platform::parse_page(*answer)
                          : std::nullopt;
    if (!page && outcome == store_outcome::no_answer)
    {
        // A silent watch says little of the store; a listing tells.
        list({});
        return;
    }
    if (!page)
    {
        failed(outcome);
        return;
    }
    m_revision = std::max(m_revision, page->m_revision);
    m_last_success = m_asked;
    m_heard = state::clock::now();
    succeeded();
    take({page->m_objects, false, m_revision, m_asked, false});
    go_on();
}

void object_watch::succeeded(
    std::optional<coordination::update_relay> const& asked)
{
    m_pause = {};
    m_source.succeeded(asked);
    auto const from = asked ? asked->m_name : std::string();
    bool const moved = std::exchange(m_heard_from, from) != from;
    if (std::exchange(m_failing, false) || moved)
    {
        m_on_state(store_outcome::done, from);
    }
}

void object_watch::failed(
    store_outcome outcome,
    std::optional<coordination::update_relay> const& asked)
{
    m_source.failed(asked, state::clock::now());
    if (!std::exchange(m_failing, true))
    {
        m_on_state(outcome, asked ? asked->m_name : std::string());
    }
    m_pause = std::clamp(m_pause * 2, first_pause, longest_pause);
    m_timer.expires_after(m_pause / 2 + m_jitter.draw(m_pause / 2));
    m_timer.async_wait(
        [this](boost::system::error_code error)
        {
            if (!error)
            {
                go_on();
            }
        });
}

} // namespace camphortide::proxy
