#include <algorithm>

#include <camphortide/coordination/fleet/home_table.hpp>
#include <camphortide/coordination/fleet/live_instances.hpp>
#include <camphortide/coordination/fleet/news_source.hpp>

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

news_order
order_news(std::string_view self,
           std::map<std::string, state::stored<state::instance_entry>> const&
               instances,
           bool direct)
{
    auto const live = live_instances(instances);
    auto const watchers = choose_watchers(live, watchers_for(live));
    auto const is_watcher = [&](std::string_view name)
    {
        return std::ranges::binary_search(watchers, std::string(name));
    };
    auto const own = instances.find(std::string(self));
    bool const store_first =
        direct || own == instances.end() || is_watcher(self);
    auto const here = own == instances.end()
                          ? std::string()
                          : own->second.m_record.m_data_centre;
    std::vector<state::instance_record> peers;
    std::ranges::copy_if(live, std::back_inserter(peers),
                         [&](auto const& each) {
                             return each.m_name != self &&
                                    is_watcher(each.m_name);
                         });
    sort_nearest_first(peers, self, here);
    news_order order;
    for (auto const& peer : peers)
    {
        order.emplace_back(news_peer{peer.m_name, peer.m_address});
    }
    auto const near =
        std::ranges::count(peers, here, &state::instance_record::m_data_centre);
    order.insert(store_first ? order.begin() : order.begin() + near,
                 std::nullopt);
    return order;
}

std::optional<news_peer> news_source::choose(state::time_point now) const
{
    for (auto const& each : m_order)
    {
        if (!m_failed.contains(each ? each->m_name : store_name, now))
        {
            return each;
        }
    }
    return std::nullopt;
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
