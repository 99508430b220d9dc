#include <algorithm>
#include <functional>
#include <utility>

#include <camphortide/coordination/fleet/rendezvous.hpp>
#include <camphortide/coordination/limits/keeper_order.hpp>

namespace camphortide::coordination
{

bool keeper_order::set_instances(std::vector<keeper_candidate> instances)
{
    if (instances == m_instances)
    {
        return false;
    }
    auto const same_process = [&](keeper_candidate const& former)
    {
        return std::ranges::any_of(
            instances,
            [&](auto const& each)
            {
                return each.m_home.m_name == former.m_home.m_name &&
                       each.m_start_time == former.m_start_time;
            });
    };
    bool const lost = !std::ranges::all_of(m_instances, same_process);
    m_instances = std::move(instances);
    m_orders.clear();
    return lost;
}

std::vector<home_address> const& keeper_order::of(std::string const& customer)
{
    auto const [it, is_new] = m_orders.try_emplace(customer);
    if (!is_new)
    {
        return it->second;
    }
    auto const key = hash_name(customer);
    using scored = std::pair<std::uint64_t, std::size_t>;
    std::vector<scored> scores;
    for (std::size_t i = 0; i < m_instances.size(); ++i)
    {
        auto const name = hash_name(m_instances[i].m_home.m_name);
        scores.emplace_back(rendezvous_score(key, name), i);
    }
    auto const count = std::min(size, scores.size());
    std::ranges::partial_sort(
        scores, scores.begin() + static_cast<std::ptrdiff_t>(count),
        std::greater<>());
    for (std::size_t i = 0; i < count; ++i)
    {
        it->second.push_back(m_instances[scores[i].second].m_home);
    }
    return it->second;
}

} // namespace camphortide::coordination
