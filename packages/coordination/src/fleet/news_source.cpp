#include <algorithm>

#include <camphortide/coordination/fleet/home_table.hpp>
#include <camphortide/coordination/fleet/live_instances.hpp>
#include <camphortide/coordination/fleet/news_source.hpp>
#include <camphortide/coordination/fleet/rendezvous.hpp>

namespace camphortide::coordination
{

namespace
{

/// The store's name among those that are left out.
std::string const store_name;

std::size_t watchers_for(std::vector<state::instance_record> const& instances)
{
    std::map<std::string_view, std::size_t> sizes;
    std::size_t largest = 0;
    for (auto const& instance : instances)
    {
        largest = std::max(largest, ++sizes[instance.m_data_centre]);
    }
    return (largest + instances_per_watcher - 1) / instances_per_watcher;
}

} // namespace

news_plan
plan_news(std::string_view self,
          std::map<std::string, state::stored<state::instance_entry>> const&
              instances,
          bool direct)
{
    auto const live = live_instances(instances);
    auto const watchers = choose_watchers(live, watchers_for(live));
    auto const own = instances.find(std::string(self));
    auto const here = own == instances.end()
                          ? std::string()
                          : own->second.m_record.m_data_centre;
    news_plan plan;
    plan.m_store_first =
        direct || own == instances.end() ||
        std::ranges::binary_search(watchers, std::string(self));
    std::vector<state::instance_record> peers;
    std::ranges::copy_if(live, std::back_inserter(peers),
                         [&](auto const& each)
                         {
                             return each.m_name != self &&
                                    std::ranges::binary_search(watchers,
                                                               each.m_name);
                         });
    auto const rank = [&](state::instance_record const& peer)
    {
        return std::pair(
            peer.m_data_centre != here,
            rendezvous_score(hash_name(self), hash_name(peer.m_name)));
    };
    std::ranges::sort(peers, {}, rank);
    for (auto const& peer : peers)
    {
        plan.m_peers.push_back({peer.m_name, peer.m_address});
    }
    return plan;
}

std::optional<news_peer> news_source::choose(state::time_point now) const
{
    if (m_plan.m_store_first && !m_failed.contains(store_name, now))
    {
        return std::nullopt;
    }
    auto const place =
        std::ranges::find_if(m_plan.m_peers, [&](news_peer const& peer)
                             { return !m_failed.contains(peer.m_name, now); });
    return place == m_plan.m_peers.end() ? std::nullopt : std::optional(*place);
}

void news_source::failed(std::optional<news_peer> const& asked,
                         state::time_point now)
{
    m_failed.add(asked ? asked->m_name : store_name,
                 now + (asked ? peer_pause : store_pause));
}

void news_source::succeeded(std::optional<news_peer> const& asked)
{
    m_failed.remove(asked ? asked->m_name : store_name);
}

} // namespace camphortide::coordination
