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

/// A member and the limit of connections that it accepts from the whole system.
struct member_connections
{
    std::string m_member;
    std::int64_t m_limit = 0;

    friend auto operator<=>(member_connections const&,
                            member_connections const&) = default;
};

/// One home's shares of all limits of a group: connections to the members, and
/// rate and concurrency of the entries. Not thread-safe; used under the lock of
/// the home's admission and connections.
class group_shares
{
public:
    /// @see share_manager
    group_shares(holder_id self, share_timing timing, double jitter);

    /// Applies the catalogue. The demand observed for an entry that remains is
    /// kept. A home requests at least half of an even part of each limit, so
    /// that it has capacity at once when another home is lost.
    /// @param version of the catalogue
    /// @param homes number of homes of the group in this home's view
    /// @param entries the group's entries, with limits for the whole system
    void set_group(std::uint64_t version, std::size_t homes,
                   std::span<member_connections const> members,
                   std::span<entry_limits const> entries);

    /// Records the arrival of a request for an entry.
    void arrived(std::string_view entry);

    /// Records an entry's load. Called for every entry at regular intervals,
    /// before the share manager's step().
    void observe(std::string_view entry, admission_load const& load,
                 state::time_point now);

    /// Records the connections to a member, before the share manager's step().
    /// @param wanted number that the home's requests could use
    /// @param in_use all that the member may count: opening, open and closing
    void observe_member(std::string_view member, std::int64_t wanted,
                        std::int64_t in_use);

    /// @return the entries with this home's part of their limits, for
    ///     admission::set_entries()
    std::vector<entry_limits> local_entries(state::time_point now) const;

    /// @return how many of a member's connections this home may use
    share_allowance connections(std::string_view member,
                                state::time_point now) const;

    /// @return the share manager, which requests the calls to the store and
    ///     takes the observations about other homes
    share_manager& manager() { return m_manager; }
    share_manager const& manager() const { return m_manager; }

private:
    void set_demand(share_key const& key, share_demand demand);

    share_manager m_manager;
    /// Minimum demand to state for each limit.
    std::map<share_key, std::int64_t> m_min_demand;
    std::map<std::string, limit_share, std::less<>> m_entries;
};

} // namespace camphortide::coordination
