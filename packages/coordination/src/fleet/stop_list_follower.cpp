#include <algorithm>
#include <utility>

#include <camphortide/coordination/fleet/stop_list_follower.hpp>

namespace camphortide::coordination
{

using state::duration;
using state::time_point;

stop_list_follower::stop_list_follower(stop_list_settings const& settings,
                                       std::string self, std::uint64_t seed,
                                       time_point now)
    : m_settings(settings),
      m_self(std::move(self)),
      m_random(seed),
      m_own_poll_interval(settings.m_poll_interval),
      m_read_sent(now),
      m_next_read(now),
      m_next_request(now)
{
}

void stop_list_follower::on_view(std::span<state::instance_record const> view,
                                 bool is_watcher, std::size_t watchers)
{
    m_is_watcher = is_watcher;
    auto const count = static_cast<state::clock::rep>(watchers);
    m_own_poll_interval = std::min(m_settings.m_max_poll_interval,
                                   count * m_settings.m_poll_interval);
    m_peers.clear();
    for (auto const& instance : view)
    {
        if (instance.m_name != m_self && state::is_live(instance.m_state))
        {
            m_peers.push_back(instance.m_name);
        }
    }
}

duration stop_list_follower::jittered(duration mean)
{
    auto const span = std::max<state::clock::rep>(mean.count(), 1);
    auto const extra = m_random.below(static_cast<std::uint64_t>(span));
    return duration(span / 2 + static_cast<state::clock::rep>(extra));
}

stop_list_follower::actions stop_list_follower::tick(time_point now)
{
    if (m_is_reading && now - m_read_sent >= m_settings.m_call_timeout)
    {
        on_store_failed(now);
    }
    if (!m_is_watcher || m_is_reading || now < m_next_read)
    {
        return {};
    }
    m_is_reading = true;
    m_read_sent = now;
    m_next_read = now + jittered(m_own_poll_interval);
    return {list_stops{}};
}

void stop_list_follower::on_store_failed(time_point now)
{
    m_is_reading = false;
    m_next_read = now + jittered(m_own_poll_interval);
}

stop_list_follower::actions
stop_list_follower::replace_list(state::stop_list list)
{
    actions out;
    if (list.m_version <= m_list.m_version)
    {
        return out;
    }
    m_list = std::move(list);
    auto left = m_peers;
    while (!left.empty() && out.size() < m_settings.m_send_peers)
    {
        auto const index =
            static_cast<std::size_t>(m_random.below(left.size()));
        out.emplace_back(send_stops{std::move(left[index]), m_list});
        left[index] = std::move(left.back());
        left.pop_back();
    }
    return out;
}

stop_list_follower::actions
stop_list_follower::on_store_list(state::stop_list list, time_point)
{
    m_is_reading = false;
    if (list.m_stops == m_list.m_stops)
    {
        return {}; // the store's version also changes with other objects
    }
    return replace_list(std::move(list));
}

stop_list_follower::actions
stop_list_follower::on_peer_version(std::string const& peer,
                                    std::uint64_t version, time_point now)
{
    if (version <= m_list.m_version || now < m_next_request)
    {
        return {};
    }
    m_next_request = now + m_settings.m_peer_timeout;
    return {request_stops{peer}};
}

stop_list_follower::actions stop_list_follower::on_stops(state::stop_list list)
{
    if (list.m_stops == m_list.m_stops)
    {
        m_list.m_version = std::max(m_list.m_version, list.m_version);
        return {};
    }
    return replace_list(std::move(list));
}

stop_list_follower::actions
stop_list_follower::on_request(std::string const& peer) const
{
    return {send_stops{peer, m_list}};
}

} // namespace camphortide::coordination
