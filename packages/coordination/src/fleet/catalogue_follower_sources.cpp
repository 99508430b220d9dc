#include <algorithm>
#include <utility>

#include <camphortide/coordination/fleet/catalogue_follower.hpp>

namespace camphortide::coordination
{

using state::duration;
using state::time_point;

namespace
{

/// Approximate limit of repeated reads by all new instances that have no
/// catalogue yet.
constexpr state::clock::rep new_instance_reads_per_second = 50;
constexpr state::clock::rep ms_per_second = 1000;

} // namespace

duration catalogue_follower::jittered(duration mean)
{
    auto const span = std::max<state::clock::rep>(mean.count(), 1);
    auto const extra = m_random.below(static_cast<std::uint64_t>(span));
    return duration(span / 2 + static_cast<state::clock::rep>(extra));
}

std::vector<std::string> catalogue_follower::random_peers(std::size_t count)
{
    auto left = m_peers;
    std::vector<std::string> result;
    while (result.size() < count && !left.empty())
    {
        auto const index =
            static_cast<std::size_t>(m_random.below(left.size()));
        result.push_back(std::move(left[index]));
        left[index] = std::move(left.back());
        left.pop_back();
    }
    return result;
}

catalogue_offer catalogue_follower::make_offer(bool wants_answer,
                                               time_point now) const
{
    return {version(), wants_answer, confirmed_age(now)};
}

void catalogue_follower::forget_offers(std::string const& peer)
{
    std::erase_if(m_offers, [&peer](peer_offer const& offer)
                  { return offer.m_peer == peer; });
}

void catalogue_follower::request_from_peer(actions& out, time_point now)
{
    if (!m_requested_peer.empty())
    {
        if (now - m_request_sent < m_settings.m_peer_timeout)
        {
            return;
        }
        forget_offers(m_requested_peer);
        m_requested_peer.clear();
    }
    auto const wanted = missing_chunks();
    auto const best =
        std::ranges::max_element(m_offers, {}, &peer_offer::m_version);
    if (best == m_offers.end())
    {
        return;
    }
    bool const is_newer = best->m_version > latest_version();
    bool const completes =
        !wanted.empty() && best->m_version == latest_version();
    if (!is_newer && !completes)
    {
        return;
    }
    m_requested_peer = best->m_peer;
    m_request_sent = now;
    catalogue_request request;
    request.m_have = version();
    if (completes && !m_collected.empty())
    {
        request.m_chunks = wanted;
    }
    out.emplace_back(send_request{best->m_peer, std::move(request)});
}

void catalogue_follower::update_role(actions& out, time_point now)
{
    bool const is_alone =
        !m_joined && now - m_started >= m_settings.m_survey_timeout;
    bool const watches = m_is_chosen && (m_joined || is_alone);
    if (watches == m_is_watcher)
    {
        return;
    }
    m_is_watcher = watches;
    if (watches)
    {
        m_next_read = std::min(m_next_read, now);
        return;
    }
    m_is_watching = false;
    out.emplace_back(stop_watch{});
    schedule_read(now);
}

void catalogue_follower::schedule_read(time_point now)
{
    auto const instances = static_cast<state::clock::rep>(m_peers.size() + 1);
    duration delay{};
    if (m_failures > 0)
    {
        auto const doubled =
            m_settings.m_min_retry_delay * (1U << std::min(m_failures - 1, 8U));
        delay = std::min(m_settings.m_max_retry_delay, doubled);
    }
    if (m_is_watcher)
    {
        auto const watchers = static_cast<state::clock::rep>(m_watchers);
        auto const poll = std::min(m_settings.m_max_poll_interval,
                                   watchers * m_settings.m_poll_interval);
        delay = m_failures > 0 ? delay : poll;
    }
    else if (m_min_version_known)
    {
        auto const reads =
            static_cast<state::clock::rep>(m_settings.m_stale_reads_per_second);
        delay = std::max(delay, duration(instances * ms_per_second / reads));
    }
    else
    {
        delay = std::max(delay, duration(instances * ms_per_second /
                                         new_instance_reads_per_second));
    }
    m_next_read = now + jittered(delay);
}

void catalogue_follower::read_head(actions& out, time_point now)
{
    if (m_is_reading && now - m_read_sent >= m_settings.m_call_timeout)
    {
        m_is_reading = false;
        m_is_watching = false;
        ++m_failures;
        m_last_failure = now;
        schedule_read(now);
    }
    if (m_is_reading || now < m_next_read)
    {
        return;
    }
    bool const is_stale = confirmed_age(now) >= m_settings.m_staleness_limit;
    if (!m_is_watcher && m_min_version_known && !is_stale)
    {
        schedule_read(now);
        return;
    }
    if (m_is_watcher && !m_is_watching)
    {
        m_is_watching = true;
        out.emplace_back(start_watch{});
    }
    m_is_reading = true;
    m_read_sent = now;
    out.emplace_back(get_head{});
}

void catalogue_follower::read_chunks(actions& out, time_point now)
{
    std::erase_if(m_chunk_reads_sent, [this, now](auto const& call)
                  { return now - call.second >= m_settings.m_call_timeout; });
    bool const peers_had_time =
        now - m_target_since >= 2 * m_settings.m_peer_timeout;
    if (!m_target || now < m_next_chunks || (!m_is_watcher && !peers_had_time))
    {
        return;
    }
    for (auto const& name : missing_chunks())
    {
        if (m_chunk_reads_sent.size() >= m_settings.m_max_chunk_reads)
        {
            return;
        }
        if (m_chunk_reads_sent.emplace(name, now).second)
        {
            out.emplace_back(get_chunk{name});
        }
    }
}

void catalogue_follower::send_survey(actions& out, time_point now)
{
    if (m_min_version_known || now < m_next_survey)
    {
        return;
    }
    m_next_survey = now + m_settings.m_survey_interval;
    evaluate_survey(now);
    std::size_t sent = 0;
    for (auto const& peer : random_peers(m_peers.size()))
    {
        if (sent < m_settings.m_survey_peers &&
            !m_survey_answers.contains(peer))
        {
            ++sent;
            out.emplace_back(send_offer{peer, make_offer(true, now)});
        }
    }
}

void catalogue_follower::evaluate_survey(time_point now)
{
    if (m_min_version_known || !m_joined || m_peers.empty())
    {
        return;
    }
    std::uint64_t newest = 0;
    std::size_t answered = 0;
    for (auto const& peer : m_peers)
    {
        auto const answer = m_survey_answers.find(peer);
        if (answer != m_survey_answers.end())
        {
            ++answered;
            newest = std::max(newest, answer->second);
        }
    }
    bool const waits_for_all = now - m_started < m_settings.m_survey_timeout;
    bool const is_sufficient = waits_for_all
                                   ? answered == m_peers.size()
                                   : answered > (m_peers.size() + 1) / 2;
    if (is_sufficient && newest > 0)
    {
        m_min_version_known = true;
        m_min_version = newest;
    }
}

} // namespace camphortide::coordination
