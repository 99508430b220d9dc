#include <algorithm>
#include <iterator>
#include <utility>

#include <camphortide/proxy/object_fetch.hpp>
#include <camphortide/proxy/object_watch.hpp>
#include <camphortide/transport/logging/log.hpp>

namespace camphortide::proxy
{

using coordination::update_relay;
using platform::store_outcome;

namespace
{

/// Timeout for a relay's response beyond the wait of the request: many round
/// trips, and one lost packet.
constexpr state::duration relay_response_timeout{500};
/// Updates aren't passed on or used if the store's last response is older than
/// the wait of a watch plus this time. It allows for a missing response to the
/// watch and another listing.
constexpr state::duration max_extra_age{1000};
/// Added to ages, because both sides count whole milliseconds.
constexpr state::duration age_margin{2};
/// Larger objects are sent as references, and larger responses within the
/// budget. 40 responses of this size (instances_per_watcher) occupy a link of
/// 10 Mbit/s for a quarter of a second.
constexpr std::size_t max_object_bytes = 8192;
constexpr unsigned status_ok = 200;
constexpr unsigned status_unavailable = 503;

bool has_changes(change_page const& page)
{
    return !page.m_objects.empty() || !page.m_references.empty();
}

std::size_t content_size(change_page const& page)
{
    std::size_t size = 0;
    for (auto const& object : page.m_objects)
    {
        size += object.m_name.size() + object.m_content.size();
    }
    return size;
}

void replace_large_objects(change_page& page)
{
    std::erase_if(
        page.m_objects,
        [&page](auto const& object)
        {
            bool const large =
                !object.m_deleted && object.m_content.size() > max_object_bytes;
            if (large)
            {
                page.m_references.push_back({object.m_name, object.m_revision});
            }
            return large;
        });
}

} // namespace

void object_watch::request_from_relay(update_relay const& relay)
{
    if (!m_relay_client || m_relay_client->address() != relay.m_address)
    {
        m_relay_client =
            std::make_shared<http_client>(m_context, relay.m_address);
    }
    if (m_relay_name != relay.m_name)
    {
        m_relay_name = relay.m_name;
        m_relay_cursor = {};
    }
    auto const sent = state::clock::now();
    update_request request{m_kind, m_relay_cursor, m_wait};
    request.m_known_revision =
        m_request_snapshot ? state::store_revision() : m_revision;
    request.m_accepts_references = m_source.store_available(sent);
    m_relay_client->send(encode(request), m_wait + relay_response_timeout,
                         [this, relay, sent](request_result const& result)
                         { relay_request_completed(relay, result, sent); });
}

void object_watch::relay_request_completed(update_relay const& relay,
                                           request_result const& result,
                                           state::time_point sent)
{
    if (!result.m_response)
    {
        request_failed(store_outcome::no_answer, relay);
        return;
    }
    auto response = result.m_response->m_status == status_ok
                        ? decode_update_response(result.m_response->m_body)
                        : std::nullopt;
    if (!response || !usable(*response))
    {
        m_relay_cursor = {};
        request_failed(store_outcome::not_available, relay);
        return;
    }
    relay_update_received({relay, std::move(*response), sent});
}

bool object_watch::usable(update_response const& response) const
{
    auto const& page = response.m_page;
    bool const behind = page.m_revision.era() < m_revision.era() ||
                        (page.m_snapshot && page.m_revision < m_revision);
    return !behind && response.m_response_age <= max_age();
}

void object_watch::relay_update_received(partial_update received)
{
    auto& page = received.m_response.m_page;
    if (!page.m_snapshot && page.m_revision.era() != m_revision.era())
    {
        m_request_snapshot = true;
        request_next();
        return;
    }
    bool const resumed =
        !page.m_snapshot && page.m_cursor.m_process != m_relay_cursor.m_process;
    if (resumed && m_cache.digest_after(page) != page.m_digest)
    {
        if (page.m_revision < m_revision)
        {
            request_failed(store_outcome::not_available, received.m_relay);
            return;
        }
        m_request_snapshot = true; // a change was missed here
        request_next();
        return;
    }
    auto missing = resolve_references(page);
    if (missing.empty())
    {
        apply_relay_update(received);
        return;
    }
    received.m_fetch_started = state::clock::now();
    std::make_shared<object_fetch>(
        m_store, m_kind, std::move(missing),
        [this, received = std::move(received)](auto objects)
        { fetch_completed(received, std::move(objects)); })
        ->start();
}

std::vector<object_reference>
object_watch::resolve_references(change_page& page) const
{
    std::vector<object_reference> missing;
    for (auto const& reference : std::exchange(page.m_references, {}))
    {
        auto const* const cached = m_cache.find(reference.m_name);
        if (cached != nullptr && cached->m_revision >= reference.m_revision)
        {
            page.m_objects.push_back(*cached);
        }
        else
        {
            missing.push_back(reference);
        }
    }
    return missing;
}

void object_watch::fetch_completed(
    partial_update received,
    std::optional<std::vector<platform::store_object>> objects)
{
    transport::log_info(
        transport::log_part::platform, "large objects read from the store",
        {{"relay", received.m_relay.m_name},
         {"revision", to_string(received.m_response.m_page.m_revision)},
         {"received", objects.has_value()},
         {"took", state::clock::now() - received.m_fetch_started}});
    if (!objects)
    {
        // The relay is asked for the contents while the store is skipped.
        m_source.failed(std::nullopt, state::clock::now());
        request_next();
        return;
    }
    auto& page = received.m_response.m_page;
    std::ranges::move(*objects, std::back_inserter(page.m_objects));
    apply_relay_update(received);
}

void object_watch::apply_relay_update(partial_update const& received)
{
    auto const& response = received.m_response;
    auto const& page = response.m_page;
    m_request_snapshot = false;
    m_relay_cursor = page.m_cursor;
    m_must_list = false;
    m_revision = std::max(m_revision, page.m_revision);
    // The ages are as of the response. Counted back from when the request was
    // sent they are overestimated, never underestimated.
    m_last_response =
        std::max(m_last_response,
                 received.m_sent - response.m_response_age - age_margin);
    m_last_success = std::max(m_last_success, m_last_response);
    request_succeeded(received.m_relay);
    apply_update({page.m_objects, page.m_snapshot, m_revision,
                  received.m_sent - response.m_verified_age - age_margin,
                  true});
    request_next();
}

void object_watch::serve(update_request const& request, responder respond)
{
    auto const now = state::clock::now();
    if (!m_cache.complete() || now - m_last_response > max_age())
    {
        respond({status_unavailable, {}});
        return;
    }
    pending_request waiting{request, now + request.m_wait, std::move(respond)};
    auto page = page_for(request);
    bool const other_cursor =
        request.m_cursor.m_process != m_cache.cursor().m_process;
    if (other_cursor || page.m_snapshot || has_changes(page))
    {
        respond_or_hold(std::move(waiting), std::move(page));
        return;
    }
    m_pending.push_back(std::move(waiting));
}

change_page object_watch::page_for(update_request const& request) const
{
    auto known = request.m_known_revision;
    if (!request.m_names_era && known != state::store_revision())
    {
        known = {known.number(), m_cache.revision().era()};
    }
    auto page = m_cache.changes_since(request.m_cursor, known);
    if (request.m_accepts_references)
    {
        replace_large_objects(page);
    }
    return page;
}

void object_watch::respond_or_hold(pending_request waiting, change_page page)
{
    auto const now = state::clock::now();
    auto const size = content_size(page);
    if (size <= max_object_bytes)
    {
        send_response(waiting.m_respond, std::move(page));
        return;
    }
    waiting.m_send_at = m_budget.reserve(now, size, waiting.m_deadline);
    if (!waiting.m_send_at)
    {
        waiting.m_respond({status_unavailable, {}});
    }
    else if (*waiting.m_send_at <= now)
    {
        send_response(waiting.m_respond, std::move(page));
    }
    else
    {
        m_pending.push_back(std::move(waiting));
    }
}

void object_watch::send_response(responder const& respond, change_page page)
{
    auto const now = state::clock::now();
    ++m_statistics.m_responses;
    m_statistics.m_snapshots += page.m_snapshot ? 1U : 0U;
    auto response = encode(update_response{std::move(page), now - m_verified_at,
                                           now - m_last_response});
    m_statistics.m_bytes += response.m_body.size();
    respond(std::move(response));
}

void object_watch::answer_pending(bool newly_verified)
{
    for (auto& waiting : std::exchange(m_pending, {}))
    {
        auto page = page_for(waiting.m_request);
        bool const due = newly_verified || page.m_snapshot || has_changes(page);
        if (due && !waiting.m_send_at)
        {
            respond_or_hold(std::move(waiting), std::move(page));
        }
        else
        {
            m_pending.push_back(std::move(waiting));
        }
    }
}

state::duration object_watch::max_age() const
{
    return m_wait + max_extra_age;
}

void object_watch::tick(state::time_point now)
{
    for (auto& waiting : std::exchange(m_pending, {}))
    {
        answer_due(std::move(waiting), now);
    }
}

void object_watch::answer_due(pending_request waiting, state::time_point now)
{
    if (now - m_last_response > max_age())
    {
        waiting.m_respond({status_unavailable, {}});
    }
    else if (now >= waiting.m_send_at.value_or(waiting.m_deadline))
    {
        send_response(waiting.m_respond, page_for(waiting.m_request));
    }
    else
    {
        m_pending.push_back(std::move(waiting));
    }
}

} // namespace camphortide::proxy
