#include <algorithm>
#include <functional>
#include <map>
#include <utility>

#include <camphortide/coordination/fleet/home_table.hpp>
#include <camphortide/coordination/fleet/rendezvous.hpp>

namespace camphortide::coordination
{

namespace
{

constexpr std::uint64_t watcher_key = hash_name("catalogue watcher");

std::vector<state::instance_record>
live_by_name(std::span<state::instance_record const> instances)
{
    std::vector<state::instance_record> result;
    for (auto const& instance : instances)
    {
        if (state::is_live(instance.m_state))
        {
            result.push_back(instance);
        }
    }
    std::ranges::sort(result, {}, &state::instance_record::m_name);
    return result;
}

} // namespace

home_table::home_table(std::span<state::instance_record const> instances,
                       std::size_t homes)
    : m_instances(live_by_name(instances)),
      m_homes(homes)
{
    std::map<std::string_view, std::size_t> data_centres;
    for (auto const& instance : m_instances)
    {
        m_hashes.push_back(hash_name(instance.m_name));
        auto const inserted =
            data_centres.emplace(instance.m_data_centre, data_centres.size());
        m_data_centre_of.push_back(inserted.first->second);
    }
    m_data_centres = data_centres.size();
}

std::vector<std::size_t> home_table::choose(std::string_view group) const
{
    std::uint64_t const key = hash_name(group);
    if (m_homes == all)
    {
        return choose_all(key);
    }
    return m_homes <= m_data_centres ? choose_in_distinct_data_centres(key)
                                     : choose_balanced(key);
}

std::vector<std::size_t> home_table::choose_all(std::uint64_t key) const
{
    std::vector<std::size_t> chosen(m_instances.size());
    std::ranges::generate(chosen,
                          [next = std::size_t{0}]() mutable { return next++; });
    std::ranges::sort(chosen, std::greater<>(),
                      [this, key](std::size_t index)
                      { return rendezvous_score(key, m_hashes[index]); });
    return chosen;
}

std::vector<std::size_t>
home_table::choose_in_distinct_data_centres(std::uint64_t key) const
{
    // The best instance of each data centre, and then the best of these.
    using scored = std::pair<std::uint64_t, std::size_t>;
    std::vector<scored> best(m_data_centres);
    for (std::size_t index = 0; index < m_hashes.size(); ++index)
    {
        auto& candidate = best[m_data_centre_of[index]];
        candidate = std::max(
            candidate, scored(rendezvous_score(key, m_hashes[index]), index));
    }
    std::ranges::sort(best, std::greater<>());
    std::vector<std::size_t> chosen;
    for (std::size_t count = 0; count < m_homes; ++count)
    {
        chosen.push_back(best[count].second);
    }
    return chosen;
}

std::vector<std::size_t> home_table::choose_balanced(std::uint64_t key) const
{
    // Each score is computed once: at 500 instances and 910 groups the choice
    // is repeated whenever an instance joins or leaves.
    using scored = std::pair<std::uint64_t, std::size_t>;
    std::vector<std::vector<scored>> candidates(m_data_centres);
    for (std::size_t index = 0; index < m_hashes.size(); ++index)
    {
        candidates[m_data_centre_of[index]].emplace_back(
            rendezvous_score(key, m_hashes[index]), index);
    }
    for (auto& each : candidates)
    {
        std::ranges::make_heap(each);
    }
    std::vector<std::size_t> used(m_data_centres, 0);
    std::vector<std::size_t> chosen;
    auto const count = std::min(m_homes, m_instances.size());
    while (chosen.size() < count)
    {
        std::size_t best = m_data_centres;
        for (std::size_t place = 0; place < m_data_centres; ++place)
        {
            bool const better =
                !candidates[place].empty() &&
                (best == m_data_centres || used[place] < used[best] ||
                 (used[place] == used[best] &&
                  candidates[place].front() > candidates[best].front()));
            best = better ? place : best;
        }
        chosen.push_back(candidates[best].front().second);
        std::ranges::pop_heap(candidates[best]);
        candidates[best].pop_back();
        ++used[best];
    }
    return chosen;
}

std::vector<state::instance_record>
home_table::homes_of(std::string_view group) const
{
    std::vector<state::instance_record> result;
    for (std::size_t const index : choose(group))
    {
        result.push_back(m_instances[index]);
    }
    return result;
}

bool home_table::is_home(std::string_view group,
                         std::string_view instance) const
{
    return std::ranges::any_of(choose(group),
                               [this, instance](std::size_t index) {
                                   return m_instances[index].m_name == instance;
                               });
}

home_movement count_movement(home_table const& before, home_table const& after,
                             std::span<std::string const> groups)
{
    home_movement result;
    for (auto const& group : groups)
    {
        auto const earlier = before.homes_of(group);
        for (auto const& home : after.homes_of(group))
        {
            ++result.m_homes;
            bool const stayed = std::ranges::any_of(
                earlier, [&home](state::instance_record const& other)
                { return other.m_name == home.m_name; });
            result.m_moved += stayed ? 0 : 1;
        }
    }
    return result;
}

std::vector<std::string>
choose_watchers(std::span<state::instance_record const> instances,
                std::size_t per_data_centre)
{
    using scored = std::pair<std::uint64_t, std::string_view>;
    std::map<std::string_view, std::vector<scored>> data_centres;
    for (auto const& instance : instances)
    {
        if (state::is_live(instance.m_state))
        {
            data_centres[instance.m_data_centre].emplace_back(
                rendezvous_score(watcher_key, hash_name(instance.m_name)),
                instance.m_name);
        }
    }
    std::vector<std::string> result;
    for (auto& [name, candidates] : data_centres)
    {
        auto const count = std::min(per_data_centre, candidates.size());
        auto const middle =
            candidates.begin() + static_cast<std::ptrdiff_t>(count);
        std::ranges::partial_sort(candidates, middle, std::greater<>());
        for (auto candidate = candidates.begin(); candidate != middle;
             ++candidate)
        {
            result.emplace_back(candidate->second);
        }
    }
    std::ranges::sort(result);
    return result;
}

} // namespace camphortide::coordination
