#include <algorithm>
#include <utility>

#include <camphortide/proxy/object_watch.hpp>

namespace camphortide::proxy
{

using coordination::update_relay;
using platform::store_outcome;

namespace
{

/// Time for another instance's answer beyond the wait that it was asked for:
/// many round trips, and one lost packet.
constexpr state::duration peer_answer_limit{500};
/// News of an instance that hasn't heard from the store for its wait and so
/// long aren't used: an answer that was due by then, and another listing.
constexpr state::duration longest_silence{1000};
/// Added to ages: both ends count whole milliseconds.
constexpr state::duration age_margin{2};
constexpr unsigned status_ok = 200;
constexpr unsigned status_unavailable = 503;

} // namespace

void object_watch::ask_peer(update_relay const& peer)
{
    if (!m_peer || m_peer->address() != peer.m_address)
    {
        m_peer = std::make_shared<http_client>(m_context, peer.m_address);
    }
    if (m_peer_name != peer.m_name)
    {
        m_peer_name = peer.m_name;
        m_peer_cursor = {};
    }
    auto const sent = state::clock::now();
    m_peer->call(encode(news_request{m_kind, m_peer_cursor, m_wait}),
                 m_wait + peer_answer_limit,
                 [this, peer, sent](call_result const& result)
                 { peer_answered(peer, result, sent); });
}

void object_watch::peer_answered(update_relay const& peer,
                                 call_result const& result,
                                 state::time_point sent)
{
    if (!result.m_answer)
    {
        failed(store_outcome::no_answer, peer);
        return;
    }
    auto const response = result.m_answer->m_status == status_ok
                              ? decode_news_response(result.m_answer->m_body)
                              : std::nullopt;
    if (!response || !use_peer_news(peer, *response, sent))
    {
        m_peer_cursor = {};
        failed(store_outcome::not_available, peer);
        return;
    }
    go_on();
}

bool object_watch::use_peer_news(update_relay const& peer,
                                 news_response const& response,
                                 state::time_point sent)
{
    auto const& page = response.m_page;
    bool const behind = page.m_whole && page.m_revision < m_revision;
    bool const unexpected =
        !page.m_whole && page.m_cursor.m_process != m_peer_cursor.m_process;
    if (behind || unexpected || response.m_heard_age > longest_age())
    {
        return false;
    }
    m_peer_cursor = page.m_cursor;
    m_revision = std::max(m_revision, page.m_revision);
    // The ages are as of the answer: counted from the question they are
    // greater than they need be, never less.
    m_heard = std::max(m_heard, sent - response.m_heard_age - age_margin);
    m_last_success = std::max(m_last_success, m_heard);
    succeeded(peer);
    take({page.m_objects, page.m_whole, m_revision,
          sent - response.m_proof_age - age_margin, true});
    return true;
}

void object_watch::serve(news_request const& request, responder done)
{
    if (!m_mirror.complete() || state::clock::now() - m_heard > longest_age())
    {
        done({status_unavailable, {}});
        return;
    }
    auto page = m_mirror.since(request.m_cursor);
    if (page.m_whole || !page.m_objects.empty())
    {
        answer(done, std::move(page));
        return;
    }
    m_waiting.push_back({request.m_cursor, state::clock::now() + request.m_wait,
                         std::move(done)});
}

void object_watch::answer(responder const& done, mirror_page page) const
{
    auto const now = state::clock::now();
    done(encode(news_response{std::move(page), now - m_proven, now - m_heard}));
}

void object_watch::answer_waiting(bool newer_proof)
{
    for (auto const& each : std::exchange(m_waiting, {}))
    {
        auto page = m_mirror.since(each.m_cursor);
        if (newer_proof || page.m_whole || !page.m_objects.empty())
        {
            answer(each.m_done, std::move(page));
        }
        else
        {
            m_waiting.push_back(each);
        }
    }
}

state::duration object_watch::longest_age() const
{
    return m_wait + longest_silence;
}

void object_watch::tick(state::time_point now)
{
    bool const stale = now - m_heard > longest_age();
    for (auto const& each : std::exchange(m_waiting, {}))
    {
        if (stale)
        {
            each.m_done({status_unavailable, {}});
        }
        else if (now >= each.m_until)
        {
            answer(each.m_done, m_mirror.since(each.m_cursor));
        }
        else
        {
            m_waiting.push_back(each);
        }
    }
}

} // namespace camphortide::proxy
