#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace camphortide::coordination
{

/// The kinds of limits that are divided among the homes of a group.
enum class share_kind : std::uint8_t
{
    connections, ///< to a member; in units of one
    concurrency, ///< of an entry; in units of one
    rate         ///< of an entry; in thousandths of a request per second
};

/// Identifies a limit of a group.
struct share_key
{
    share_kind m_kind = share_kind::connections;
    std::string m_name; ///< of the member or the entry

    friend auto operator<=>(share_key const&, share_key const&) = default;
};

/// One incarnation of an instance.
struct holder_id
{
    std::string m_instance;
    std::uint64_t m_incarnation = 0;

    friend auto operator<=>(holder_id const&, holder_id const&) = default;
};

/// The part of a limit that one home may use.
struct held_share
{
    holder_id m_holder;
    std::int64_t m_amount = 0;
    std::int64_t m_wanted = 0; ///< the demand of its callers

    friend auto operator<=>(held_share const&, held_share const&) = default;
};

/// A limit and its division among the holders.
struct divided_limit
{
    share_key m_key;
    std::int64_t m_limit = 0;
    std::vector<held_share> m_shares; ///< sorted by holder

    /// @return the amount that nobody holds; negative after the limit was
    ///     lowered
    std::int64_t free() const;

    /// @return the holder's share; null if it has none
    held_share const* find(holder_id const& holder) const;
    held_share* find(holder_id const& holder);

    friend auto operator<=>(divided_limit const&,
                            divided_limit const&) = default;
};

/// A holder whose shares are withdrawn but not free yet.
struct retired_holder
{
    holder_id m_holder;
    std::uint64_t m_number = 0; ///< distinguishes retirements of one holder

    friend auto operator<=>(retired_holder const&,
                            retired_holder const&) = default;
};

/// The division of all limits of one group: the value of one object in the
/// platform's store, changed by conditional updates only.
struct share_ledger
{
    std::uint64_t m_limits_version = 0;  ///< of the catalogue
    std::uint64_t m_last_retirement = 0; ///< highest number assigned
    std::vector<divided_limit> m_limits; ///< sorted by key
    std::vector<retired_holder> m_retired;

    /// @return the limit; null if the group has no limit with that key
    divided_limit const* find(share_key const& key) const;

    /// @return true if the holder is retired: its shares are withdrawn
    bool retired(holder_id const& holder) const;

    /// @return true if the holder has a share of any limit
    bool holds(holder_id const& holder) const;

    friend auto operator<=>(share_ledger const&, share_ledger const&) = default;
};

/// Computes a holder's part of a limit: the demands are served by max-min
/// fairness, and the rest is divided evenly. The result depends on the ledger
/// alone, so all homes compute the same parts.
/// @return the amount; 0 if the holder has no share or is retired
std::int64_t target_share(share_ledger const& ledger,
                          divided_limit const& limit, holder_id const& holder);

} // namespace camphortide::coordination
