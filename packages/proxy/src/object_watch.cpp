#include <algorithm>
#include <utility>

#include <camphortide/proxy/object_watch.hpp>

namespace camphortide::proxy
{

using platform::store_outcome;

namespace
{

/// Pause after the first failed request; it doubles up to the maximum. The
/// maximum is short enough to notice within the freshness bounds that the store
/// is available again.
constexpr state::duration min_backoff{50};
constexpr state::duration max_backoff{400};
/// Pending requests are answered at once when the objects were verified at
/// least this much later than before. The times that two instances derive from
/// the same listing differ by less, so that instances that request updates from
/// each other don't respond in an endless loop.
constexpr state::duration min_verification_step{1000};

/// Parses the page in a response.
/// @param outcome of the request; unreadable if the page is invalid
/// @return the page; empty if there is none
std::optional<platform::store_page>
read_page(store_outcome& outcome,
          std::optional<platform::http_response> const& response)
{
    auto page = outcome == store_outcome::done ? platform::parse_page(*response)
                                               : std::nullopt;
    if (!page && outcome == store_outcome::done)
    {
        outcome = store_outcome::unreadable;
    }
    return page;
}

} // namespace

object_watch::object_watch(boost::asio::io_context& context,
                           store_client& store, platform::object_kind kind,
                           state::duration wait, state::duration relist,
                           std::uint64_t process,
                           coordination::transfer_budget& budget)
    : m_context(context),
      m_store(store),
      m_kind(kind),
      m_wait(wait),
      m_relist(relist),
      m_timer(context),
      m_jitter(process + static_cast<std::uint64_t>(kind)),
      m_cache(process),
      m_budget(budget)
{
}

void object_watch::start(update_handler on_update, status_handler on_status)
{
    m_on_update = std::move(on_update);
    m_on_status = std::move(on_status);
    list({});
}

void object_watch::list(std::string const& after)
{
    m_relay_name.clear(); // its cursor is outdated by the listing
    if (after.empty())
    {
        m_listing = {};
        m_listing.m_snapshot = true;
        m_listing.m_requested_at = state::clock::now();
    }
    m_store.send(platform::list_request(m_kind, after),
                 [this](store_outcome outcome,
                        std::optional<platform::http_response> const& response)
                 { list_completed(outcome, response); });
}

void object_watch::list_completed(
    store_outcome outcome,
    std::optional<platform::http_response> const& response)
{
    auto const page = read_page(outcome, response);
    if (!page)
    {
        request_failed(outcome);
        return;
    }
    if (page->m_revision.era() < m_revision.era())
    {
        request_failed(store_outcome::not_available); // of an earlier era
        return;
    }
    bool const first_page = m_listing.m_revision == state::store_revision();
    if (!first_page && page->m_revision.era() != m_listing.m_revision.era())
    {
        list({});
        return;
    }
    if (first_page)
    {
        // The watch returns the changes made while further pages are
        // listed.
        m_listing.m_revision = page->m_revision;
    }
    m_listing.m_objects.insert(m_listing.m_objects.end(),
                               page->m_objects.begin(), page->m_objects.end());
    if (page->m_has_more && page->m_objects.empty())
    {
        request_failed(store_outcome::unreadable); // no name to continue after
        return;
    }
    if (page->m_has_more)
    {
        list(page->m_objects.back().m_name);
        return;
    }
    m_revision = m_listing.m_revision;
    m_must_list = false;
    m_last_success = m_last_listing = m_listing.m_requested_at;
    m_last_response = state::clock::now();
    request_succeeded();
    m_listing.m_verified = true;
    apply_update(std::exchange(m_listing, {}));
    request_next();
}

void object_watch::apply_update(update const& value)
{
    m_cache.update(value.m_objects, value.m_snapshot, value.m_revision);
    bool const newly_verified =
        value.m_verified &&
        value.m_requested_at >= m_verified_at + min_verification_step;
    if (value.m_verified)
    {
        m_verified_at = std::max(m_verified_at, value.m_requested_at);
    }
    m_on_update(value);
    answer_pending(newly_verified);
}

void object_watch::request_next()
{
    if (auto const relay = m_source.choose(state::clock::now()))
    {
        request_from_relay(*relay);
        return;
    }
    bool const due = m_relist.count() > 0 &&
                     state::clock::now() - m_last_listing >= m_relist;
    if (m_must_list || due)
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
    m_relay_name.clear();
    m_requested_at = state::clock::now();
    m_store.send(
        platform::watch_request(m_kind, m_revision, m_wait.count()),
        [this](store_outcome outcome,
               std::optional<platform::http_response> const& response)
        { watch_completed(outcome, response); },
        m_wait);
}

void object_watch::watch_completed(
    store_outcome outcome,
    std::optional<platform::http_response> const& response)
{
    if (outcome == store_outcome::history_gone)
    {
        m_must_list = true;
        list({});
        return;
    }
    auto const page = read_page(outcome, response);
    if (!page && outcome == store_outcome::no_answer)
    {
        // A watch without a response doesn't show whether the store is
        // available; a listing does.
        list({});
        return;
    }
    if (!page)
    {
        request_failed(outcome);
        return;
    }
    if (page->m_revision.era() != m_revision.era())
    {
        m_must_list = true;
        list({});
        return;
    }
    m_revision = std::max(m_revision, page->m_revision);
    m_last_success = m_requested_at;
    m_last_response = state::clock::now();
    request_succeeded();
    apply_update({page->m_objects, false, m_revision, m_requested_at, false});
    request_next();
}

void object_watch::request_succeeded(
    std::optional<coordination::update_relay> const& relay)
{
    m_backoff = {};
    m_source.succeeded(relay);
    auto const source = relay ? relay->m_name : std::string();
    bool const source_changed =
        std::exchange(m_current_source, source) != source;
    if (std::exchange(m_failing, false) || source_changed)
    {
        m_on_status(store_outcome::done, source);
    }
}

void object_watch::request_failed(
    store_outcome outcome,
    std::optional<coordination::update_relay> const& relay)
{
    m_source.failed(relay, state::clock::now());
    if (!std::exchange(m_failing, true))
    {
        m_on_status(outcome, relay ? relay->m_name : std::string());
    }
    m_backoff = std::clamp(m_backoff * 2, min_backoff, max_backoff);
    m_timer.expires_after(m_backoff / 2 + m_jitter.draw(m_backoff / 2));
    m_timer.async_wait(
        [this](boost::system::error_code error)
        {
            if (!error)
            {
                request_next();
            }
        });
}

} // namespace camphortide::proxy
