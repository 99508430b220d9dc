#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <camphortide/coordination/limits/admission_types.hpp>
#include <camphortide/coordination/limits/entry_limits.hpp>
#include <camphortide/coordination/limits/limit_share.hpp>
#include <camphortide/coordination/limits/share_manager.hpp>

namespace camphortide::coordination
{

/// A member and the connections that it takes from the whole system.
struct member_connections
{
    std::string m_member;
    std::int64_t m_limit = 0;

    friend auto operator<=>(member_connections const&,
                            member_connections const&) = default;
};

/// One home's shares of all limits of a group: the members' connections, and
/// the rates and concurrency of the entries. Not thread-safe; under the lock
/// of the home's admission and connections.
class group_shares
{
public:
    /// @see share_manager
    group_shares(holder_id self, share_timing timing, double jitter);

    /// Takes in the catalogue. Demand seen of an entry is kept. A home asks
    /// for half an even part of each limit at min_demand, to go on with at once
    /// when another one is lost.
    /// @param version of the catalogue
    /// @param homes of the group in this home's view
    /// @param entries the group's entries, with limits for the whole system
    void set_group(std::uint64_t version, std::size_t homes,
                   std::span<member_connections const> members,
                   std::span<entry_limits const> entries);

    /// Takes in that a request of an entry arrived.
    void arrived(std::string_view entry);

    /// Takes in an entry's load. Called for every entry at even intervals,
    /// before the manager's step().
    void observe(std::string_view entry, admission_load const& load,
                 state::time_point now);

    /// Takes in the connections to a member, before the manager's step().
    /// @param wanted what its requests could use
    /// @param in_use all that the member may count: opening, open, closing
    void observe_member(std::string_view member, std::int64_t wanted,
                        std::int64_t in_use);

    /// @return the entries with this home's part of their limits, for
    ///     admission::set_entries()
    std::vector<entry_limits> local_entries(state::time_point now) const;

    /// @return what this home may use of a member's connections
    share_allowance connections(std::string_view member,
                                state::time_point now) const;

    /// @return the manager, which calls the store and hears of other homes
    share_manager& manager() { return m_manager; }
    share_manager const& manager() const { return m_manager; }

private:
    void set_demand(share_key const& key, share_demand demand);

    share_manager m_manager;
    std::map<share_key, std::int64_t> m_min_demand; ///< to ask for
    std::map<std::string, limit_share, std::less<>> m_entries;
};

} // namespace camphortide::coordination
