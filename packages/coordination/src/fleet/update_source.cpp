#include <algorithm>

#include <camphortide/coordination/fleet/home_table.hpp>
#include <camphortide/coordination/fleet/live_instances.hpp>
#include <camphortide/coordination/fleet/update_source.hpp>

namespace camphortide::coordination
{

namespace
{

/// The name that stands for the store in the set of cooldowns.
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

update_source_order order_update_sources(
    std::string_view self,
    std::map<std::string, state::stored<state::instance_entry>> const&
        instances,
    bool prefer_store)
{
    auto const live = live_instances(instances);
    auto const watchers = choose_watchers(live, watchers_for(live));
    auto const is_watcher = [&](std::string_view name)
    {
        return std::ranges::binary_search(watchers, std::string(name));
    };
    auto const own = instances.find(std::string(self));
    bool const store_first =
        prefer_store || own == instances.end() || is_watcher(self);
    auto const own_data_centre = own == instances.end()
                                     ? std::string()
                                     : own->second.m_record.m_data_centre;
    std::vector<state::instance_record> relays;
    std::ranges::copy_if(live, std::back_inserter(relays),
                         [&](auto const& each) {
                             return each.m_name != self &&
                                    is_watcher(each.m_name);
                         });
    sort_nearest_first(relays, self, own_data_centre);
    update_source_order order;
    for (auto const& relay : relays)
    {
        order.emplace_back(update_relay{relay.m_name, relay.m_address});
    }
    auto const local_relays = std::ranges::count(
        relays, own_data_centre, &state::instance_record::m_data_centre);
    order.insert(store_first ? order.begin() : order.begin() + local_relays,
                 std::nullopt);
    return order;
}

std::optional<update_relay> update_source::choose(state::time_point now) const
{
    for (auto const& each : m_order)
    {
        if (!m_cooldown.contains(each ? each->m_name : store_name, now))
        {
            return each;
        }
    }
    return std::nullopt;
}

bool update_source::store_available(state::time_point now) const
{
    return !m_cooldown.contains(store_name, now);
}

void update_source::failed(std::optional<update_relay> const& source,
                           state::time_point now)
{
    m_cooldown.add(source ? source->m_name : store_name,
                   now + (source ? relay_cooldown : store_cooldown));
}

void update_source::succeeded(std::optional<update_relay> const& source)
{
    m_cooldown.remove(source ? source->m_name : store_name);
}

} // namespace camphortide::coordination
