#include <algorithm>
#include <utility>

#include <camphortide/coordination/fleet/catalogue_follower.hpp>
#include <camphortide/coordination/fleet/home_table.hpp>

namespace camphortide::coordination
{

using state::time_point;

catalogue_follower::catalogue_follower(
    catalogue_follower_settings const& settings, std::string self,
    catalogue_codec const& codec, std::uint64_t seed, time_point now)
    : m_settings(settings),
      m_self(std::move(self)),
      m_codec(codec),
      m_random(seed),
      m_started(now),
      m_next_survey(now),
      m_request_sent(now),
      m_read_sent(now),
      m_next_chunks(now),
      m_target_since(now)
{
    m_next_read = now + jittered(m_settings.m_first_read_spread / 2);
}

void catalogue_follower::on_view(std::span<state::instance_record const> view,
                                 bool joined)
{
    m_joined = joined;
    m_peers.clear();
    for (auto const& instance : view)
    {
        if (instance.m_name != m_self && state::is_live(instance.m_state))
        {
            m_peers.push_back(instance.m_name);
        }
    }
    auto const watchers = choose_watchers(view, m_settings.m_watchers);
    m_is_chosen = std::ranges::binary_search(watchers, m_self);
    m_watchers = std::max<std::size_t>(watchers.size(), 1);
}

catalogue_follower::actions catalogue_follower::tick(time_point now)
{
    actions out;
    update_role(out, now);
    send_survey(out, now);
    read_head(out, now);
    advance(out, now);
    return out;
}

catalogue_follower::actions
catalogue_follower::on_store_head(std::optional<catalogue_parts> parts,
                                  time_point now)
{
    actions out;
    m_is_reading = false;
    m_failures = 0;
    m_confirmed = now;
    std::uint64_t const stored = parts ? parts->m_head.m_version : 0;
    if (!m_min_version_known)
    {
        m_min_version_known = true;
        m_min_version = stored;
    }
    m_store_behind = stored < version();
    if (parts)
    {
        merge_parts(std::move(*parts));
    }
    schedule_read(now);
    advance(out, now);
    return out;
}

catalogue_follower::actions
catalogue_follower::on_store_chunk(std::string const& chunk, chunk_bytes bytes,
                                   time_point now)
{
    actions out;
    m_chunk_reads_sent.erase(chunk);
    m_failures = 0;
    if (bytes == nullptr || !merge_chunk(chunk, std::move(bytes)))
    {
        // The chunk was replaced in the meantime, so the head has changed too.
        m_next_read = now;
        m_next_chunks = now + jittered(m_settings.m_min_retry_delay);
    }
    advance(out, now);
    return out;
}

catalogue_follower::actions catalogue_follower::on_store_failed(time_point now)
{
    actions out;
    ++m_failures;
    m_last_failure = now;
    m_is_reading = false;
    m_is_watching = false;
    m_chunk_reads_sent.clear();
    schedule_read(now);
    m_next_chunks = m_next_read;
    advance(out, now);
    return out;
}

catalogue_follower::actions
catalogue_follower::on_offer(std::string const& peer,
                             catalogue_offer const& offer, time_point now)
{
    actions out;
    if (offer.m_wants_answer)
    {
        out.emplace_back(send_offer{peer, make_offer(false, now)});
    }
    if (!m_min_version_known)
    {
        m_survey_answers[peer] =
            std::max(m_survey_answers[peer], offer.m_version);
        evaluate_survey(now);
    }
    if (offer.m_version >= version() && offer.m_version > 0)
    {
        auto const confirmed = now - offer.m_confirmed_age;
        m_confirmed = std::max(m_confirmed.value_or(confirmed), confirmed);
        if (!m_is_watcher && confirmed > m_last_failure)
        {
            m_failures = 0; // the store answers the watchers
        }
    }
    if (offer.m_version > version())
    {
        forget_offers(peer);
        m_offers.push_back({peer, offer.m_version});
    }
    advance(out, now);
    return out;
}

catalogue_follower::actions
catalogue_follower::on_request(std::string const& peer,
                               catalogue_request const& request)
{
    catalogue_parts parts;
    parts.m_head = m_head;
    std::size_t bytes = 0;
    for (auto const& reference : m_head.m_chunks)
    {
        bool const wanted =
            request.m_chunks.empty()
                ? reference.m_since > request.m_have
                : std::ranges::find(request.m_chunks, reference.m_name) !=
                      request.m_chunks.end();
        if (!wanted || bytes >= m_settings.m_max_part_bytes)
        {
            continue;
        }
        auto const& chunk = m_chunks.at(reference.m_name);
        bytes += chunk->size();
        parts.m_chunks.emplace(reference.m_name, chunk);
    }
    return {send_parts{peer, std::move(parts)}};
}

catalogue_follower::actions
catalogue_follower::on_parts(std::string const& peer, catalogue_parts parts,
                             time_point now)
{
    actions out;
    if (peer == m_requested_peer)
    {
        m_requested_peer.clear();
    }
    auto const offered = parts.m_head.m_version;
    bool const useful = offered >= latest_version() && !parts.m_chunks.empty();
    merge_parts(std::move(parts));
    forget_offers(peer);
    if (useful)
    {
        m_offers.push_back({peer, offered});
    }
    advance(out, now);
    return out;
}

state::duration catalogue_follower::confirmed_age(time_point now) const
{
    return m_confirmed ? now - *m_confirmed : now - m_started;
}

void catalogue_follower::merge_parts(catalogue_parts parts)
{
    if (parts.m_head.m_version > latest_version())
    {
        m_target = std::move(parts.m_head);
        m_target_since = time_point::min();
        std::erase_if(m_collected,
                      [this](auto const& item)
                      {
                          return std::ranges::find(
                                     m_target->m_chunks, item.first,
                                     &state::chunk_reference::m_name) ==
                                 m_target->m_chunks.end();
                      });
    }
    for (auto& [name, bytes] : parts.m_chunks)
    {
        merge_chunk(name, std::move(bytes));
    }
}

bool catalogue_follower::merge_chunk(std::string const& name, chunk_bytes bytes)
{
    if (!m_target || bytes == nullptr)
    {
        return true;
    }
    auto const found = std::ranges::find(m_target->m_chunks, name,
                                         &state::chunk_reference::m_name);
    if (found == m_target->m_chunks.end())
    {
        return true;
    }
    if (m_codec.digest(*bytes) != found->m_digest)
    {
        return false;
    }
    m_collected.insert_or_assign(name, std::move(bytes));
    return true;
}

std::vector<std::string> catalogue_follower::missing_chunks() const
{
    std::vector<std::string> result;
    if (!m_target)
    {
        return result;
    }
    for (auto const& reference : m_target->m_chunks)
    {
        if (!m_collected.contains(reference.m_name) &&
            !m_chunks.contains(reference.m_name))
        {
            result.push_back(reference.m_name);
        }
    }
    return result;
}

std::uint64_t catalogue_follower::latest_version() const
{
    return m_target ? m_target->m_version : m_head.m_version;
}

void catalogue_follower::advance(actions& out, time_point now)
{
    if (m_target && m_target_since == time_point::min())
    {
        m_target_since = now;
    }
    if (m_target && m_min_version_known &&
        m_target->m_version >= m_min_version && missing_chunks().empty())
    {
        apply(out, now);
    }
    request_from_peer(out, now);
    read_chunks(out, now);
}

void catalogue_follower::apply(actions& out, time_point now)
{
    chunk_map chunks;
    for (auto const& reference : m_target->m_chunks)
    {
        auto const& from =
            m_collected.contains(reference.m_name) ? m_collected : m_chunks;
        chunks.emplace(reference.m_name, from.at(reference.m_name));
    }
    m_head = std::move(*m_target);
    m_chunks = std::move(chunks);
    m_target.reset();
    m_collected.clear();
    m_chunk_reads_sent.clear();
    std::erase_if(m_offers, [this](peer_offer const& offer)
                  { return offer.m_version <= version(); });
    out.emplace_back(apply_catalogue{m_head, m_chunks});
    for (auto const& peer : random_peers(m_settings.m_offer_peers))
    {
        out.emplace_back(send_offer{peer, make_offer(false, now)});
    }
}

} // namespace camphortide::coordination
