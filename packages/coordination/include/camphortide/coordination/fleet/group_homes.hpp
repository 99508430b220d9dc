#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <camphortide/coordination/fleet/cooldown_set.hpp>
#include <camphortide/state/fleet_records.hpp>

namespace camphortide::coordination
{

/// An instance that has connections to the members of a group.
struct home_address
{
    std::string m_name;
    std::string m_address; ///< for statements of other instances

    friend auto operator<=>(home_address const&, home_address const&) = default;
};

/// Who has connections to a group's members.
struct group_homes
{
    std::size_t m_count = 1; ///< instances that share the connections
    bool m_is_home = true;   ///< this instance is one
    /// all of them, the one to ask first in front; empty: every instance is
    std::vector<home_address> m_homes;

    friend auto operator<=>(group_homes const&, group_homes const&) = default;
};

/// Connections to a member that a home has where not every instance can have
/// one. More for each leaves fewer homes: statements queue in fewer places
/// and in better order, and the end of a home is felt by more callers.
inline constexpr std::size_t connections_per_home = 12;

/// Least number of homes of a group: one in each of three data centres, and
/// one of them may end at any moment.
inline constexpr std::size_t min_homes = 3;

/// Every instance is a home where each has so many connections to a member:
/// one in use, one in a transaction, and one for an instance that comes back
/// while the member still counts those of its dead process.
inline constexpr std::size_t min_connections_per_instance = 3;

/// Chooses the homes of a group. Every instance is one as long as each can
/// have enough connections to each member.
/// @param self this instance's name
/// @param group the group's name
/// @param connections to each member that the instances share
/// @param instances all that are registered
group_homes
choose_homes(std::string_view self, std::string_view group,
             std::size_t connections,
             std::map<std::string, state::stored<state::instance_entry>> const&
                 instances);

/// Chooses among a group's homes for one statement after the other. Answers
/// homes that end, leave or fall silent.
class home_selector
{
public:
    void set_homes(std::vector<home_address> homes)
    {
        m_homes = std::move(homes);
    }

    /// @param attempted homes that didn't run the statement
    /// @return the home to ask; null: there is none left
    home_address const* choose(std::vector<std::string> const& attempted,
                               state::time_point now) const;

    /// Takes that a home didn't run a statement, or can't be reached.
    /// @param cooldown how long others are asked first
    void failed(std::string const& home, state::duration cooldown,
                state::time_point now);

private:
    std::vector<home_address> m_homes; ///< the preferred one first
    cooldown_set m_cooldown;
};

} // namespace camphortide::coordination
