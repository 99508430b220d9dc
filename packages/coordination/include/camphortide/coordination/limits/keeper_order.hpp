#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <camphortide/coordination/fleet/group_homes.hpp>

namespace camphortide::coordination
{

/// An instance that may keep allowances of customers.
struct keeper_candidate
{
    home_address m_home;
    std::int64_t m_start_time = 0; ///< of its process, Unix milliseconds

    friend auto operator<=>(keeper_candidate const&,
                            keeper_candidate const&) = default;
};

/// The keeper of each customer's allowance and its backups, derived from the
/// registered instances. Instances with the same records have the same order.
class keeper_order
{
public:
    /// Keeper and backups. Three instances seldom fail together.
    static constexpr std::size_t size = 3;

    /// Replaces the registered instances.
    /// @return true if one of the former ones left or has a new process
    bool set_instances(std::vector<keeper_candidate> instances);

    /// @return the keeper and then its backups
    std::vector<home_address> const& of(std::string const& customer);

private:
    std::vector<keeper_candidate> m_instances; ///< by name
    /// Orders that were computed for the present instances, by customer.
    std::map<std::string, std::vector<home_address>, std::less<>> m_orders;
};

} // namespace camphortide::coordination
