#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <camphortide/state/instance_record.hpp>

namespace camphortide::coordination
{

/// Chooses for each group the instances that hold its connections, by
/// rendezvous hashing over the live instances of one view. Each further home
/// is in a data centre that has the fewest homes of the group so far.
class home_table
{
public:
    /// Number of homes that stands for every live instance.
    static constexpr std::size_t all = 0;

    home_table() = default;

    /// @param instances a view; those that are not live are left out
    /// @param homes how many homes a group has, or `all`
    home_table(std::span<state::instance_record const> instances,
               std::size_t homes);

    /// @param group the group's name
    /// @return the homes, the preferred one first; fewer than asked for if
    ///     fewer instances are live
    std::vector<state::instance_record> homes_of(std::string_view group) const;

    /// @param group the group's name
    /// @param instance an instance's name
    /// @return true if the instance is a home of the group
    bool is_home(std::string_view group, std::string_view instance) const;

    /// @return the live instances of the view, by name
    std::vector<state::instance_record> const& instances() const
    {
        return m_instances;
    }

private:
    std::vector<std::size_t> choose(std::string_view group) const;
    std::vector<std::size_t> choose_all(std::uint64_t key) const;
    std::vector<std::size_t>
    choose_in_distinct_data_centres(std::uint64_t key) const;
    std::vector<std::size_t> choose_balanced(std::uint64_t key) const;

    std::vector<state::instance_record> m_instances;
    std::vector<std::uint64_t> m_hashes;       ///< of the instances' names
    std::vector<std::size_t> m_data_centre_of; ///< index of each instance's
    std::size_t m_data_centres = 0;
    std::size_t m_homes = all;
};

/// How many homes changed between two views.
struct home_movement
{
    std::size_t m_homes = 0; ///< homes of all groups in the later view
    std::size_t m_moved = 0; ///< those that were not homes in the earlier one
};

/// Counts what a change of view moves.
/// @param before the earlier table
/// @param after the later table
/// @param groups names of the groups
/// @return the counts over all groups
home_movement count_movement(home_table const& before, home_table const& after,
                             std::span<std::string const> groups);

/// Chooses the instances that watch the store: a fixed number in each data
/// centre, by rendezvous over its live instances.
/// @param instances a view; those that are not live are left out
/// @param per_data_centre how many in each data centre
/// @return the names of the watchers, sorted
std::vector<std::string>
choose_watchers(std::span<state::instance_record const> instances,
                std::size_t per_data_centre);

} // namespace camphortide::coordination
