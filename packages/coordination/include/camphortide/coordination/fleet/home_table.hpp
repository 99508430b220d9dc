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

/// Chooses the homes of each group, by rendezvous hashing over the live
/// instances of one view. Each further home is placed in a data centre with the
/// fewest homes of the group so far.
class home_table
{
public:
    /// Special number of homes: every live instance is a home.
    static constexpr std::size_t all = 0;

    home_table() = default;

    /// @param instances a view; instances that are not live are ignored
    /// @param homes the number of homes of a group, or `all`
    home_table(std::span<state::instance_record const> instances,
               std::size_t homes);

    /// @param group the name of the group
    /// @return the homes by preference; fewer than configured if fewer
    ///     instances are live
    std::vector<state::instance_record> homes_of(std::string_view group) const;

    /// @param group the name of the group
    /// @param instance the name of the instance
    /// @return true if the instance is a home of the group
    bool is_home(std::string_view group, std::string_view instance) const;

    /// @return the live instances of the view, sorted by name
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
    std::vector<std::uint64_t> m_hashes; ///< of the instances' names
    /// Index of each instance's data centre.
    std::vector<std::size_t> m_data_centre_of;
    std::size_t m_data_centres = 0;
    std::size_t m_homes = all;
};

/// The number of homes that differ between two views.
struct home_movement
{
    std::size_t m_homes = 0; ///< homes of all groups in the later view
    /// Of these, homes that were not homes in the earlier view.
    std::size_t m_moved = 0;
};

/// Counts the homes that move when the view changes.
/// @param before the table of the earlier view
/// @param after the table of the later view
/// @param groups the names of the groups
/// @return the counts over all groups
home_movement count_movement(home_table const& before, home_table const& after,
                             std::span<std::string const> groups);

/// Chooses the instances that watch the store: a fixed number in each data
/// centre, by rendezvous hashing over its live instances.
/// @param instances a view; instances that are not live are ignored
/// @param per_data_centre number of watchers in each data centre
/// @return the names of the watchers, sorted
std::vector<std::string>
choose_watchers(std::span<state::instance_record const> instances,
                std::size_t per_data_centre);

} // namespace camphortide::coordination
