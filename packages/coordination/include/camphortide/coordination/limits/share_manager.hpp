#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include <camphortide/coordination/limits/share_ledger.hpp>
#include <camphortide/coordination/limits/share_proposal.hpp>
#include <camphortide/state/clock.hpp>

namespace camphortide::coordination
{

/// The times that a manager of shares goes factor.
struct share_timing
{
    state::duration m_lease{10000}; ///< from before the request was sent
    state::duration m_takeover_delay{15000};  ///< from sight of a retirement
    state::duration m_contact_timeout{4000};  ///< less than what makes one gone
    state::duration m_refresh_interval{4000}; ///< between reads of the ledger
    state::duration m_rebalance_interval{
        5000}; ///< between changes of what is wanted
    state::duration m_min_backoff{250};
    state::duration m_max_backoff{8000};
    state::duration m_call_timeout{5000}; ///< of a call to the store

    friend auto operator<=>(share_timing const&, share_timing const&) = default;
};

/// A call to the platform's store.
struct ledger_call
{
    std::uint64_t m_number = 0; ///< to be handed back with the result
    bool m_write = false;       ///< a conditional update, else a read
    share_ledger m_ledger;      ///< to write
    std::uint64_t m_if_version = 0;

    friend auto operator<=>(ledger_call const&, ledger_call const&) = default;
};

/// How sure a home may be of its share.
enum class share_guarantee
{
    exclusive,  ///< nobody else can use it
    provisional ///< can't be confirmed; what enforces the limit must agree as
                ///< well
};

/// What a home may use of a limit at one time.
struct share_allowance
{
    std::int64_t m_amount = 0;
    share_guarantee m_guarantee = share_guarantee::provisional;

    friend auto operator<=>(share_allowance const&,
                            share_allowance const&) = default;
};

/// Keeps one home's shares of the limits of one group. Each home raises and
/// lowers only its own shares, within what is free in the ledger; shares of a
/// home that is gone are retired first and free only once it can't use them.
/// docs/design/connection-budgets.md proves that the exclusive shares never add
/// up to more than the limit. Not thread-safe: what uses a share, allowance(),
/// set_demand() and step() are called under one lock.
class share_manager
{
public:
    /// @param self this home
    /// @param timing the same at every home
    /// @param jitter in [0, 1), differs between homes; spreads their calls
    share_manager(holder_id self, share_timing timing, double jitter);

    /// Takes in the limits that are in force.
    /// @param version rises with every change; an older one than in the ledger
    ///     has no effect
    void set_limits(std::uint64_t version, std::vector<share_limit> limits);

    /// Takes in how many homes the group has, in this home's view. Those that
    /// are not in the ledger yet are left their parts.
    void set_homes(std::int64_t homes) { m_home.m_homes = homes; }

    /// Takes in what this home needs of a limit.
    void set_demand(share_key const& key, share_demand demand);

    /// Takes in which holders are gone for good, in this home's view.
    void set_gone(std::vector<holder_id> gone);

    /// Takes in that a majority of the instances was heard from. Without a gap
    /// in this contact since the ledger was last confirmed, a home uses its
    /// shares though its lease lapsed: nobody can have found it gone. A home
    /// that was not in contact for a while retires nobody.
    /// @param requested_at a time before they were asked
    void set_contact(state::time_point requested_at);

    /// Takes in that no live instance holds a share, while the store can't be
    /// asked. A home that never saw the ledger then uses an even part.
    /// @param homes the number of homes that share; 0 if somebody holds shares
    void set_fallback_homes(std::int64_t homes) { m_fallback_homes = homes; }

    /// Gives all shares back as they fall out of use.
    void leave() { m_home.m_leaving = true; }

    /// Takes part again after leave(), as a newcomer does.
    void rejoin() { m_home.m_leaving = false; }

    /// Decides on the next call to the store. Called every few hundred ms.
    /// @return the call, if one is due; there is never a second one start_call
    std::optional<ledger_call> step(state::time_point now);

    /// Takes in the answer to a read.
    /// @param now read from the clock after the answer came, as below
    /// @param version 0 if there is no ledger yet
    void read_done(std::uint64_t number, share_ledger const& ledger,
                   std::uint64_t version, state::time_point now);

    /// Takes in that a write took effect.
    void write_done(std::uint64_t number, std::uint64_t version,
                    state::time_point now);

    /// Takes in that a write was refused for its version.
    void write_conflict(std::uint64_t number, state::time_point now);

    /// Takes in that a call failed, or that its result isn't existing.
    void call_failed(std::uint64_t number, state::time_point now);

    /// Takes in from a peer that the ledger's version was current.
    /// @param requested_at a time before the peer asked the store
    void confirmed(std::uint64_t version, state::time_point requested_at);

    /// @return what this home may use now; to be asked just before use
    share_allowance allowance(share_key const& key,
                              state::time_point now) const;

    /// @return true once this home left and holds nothing
    bool left() const;

    std::uint64_t version() const { return m_version; }
    share_ledger const& ledger() const { return m_ledger; }

private:
    struct pending_call
    {
        ledger_call m_call;
        state::time_point m_sent;
    };

    /// A write that may still take effect.
    struct uncertain_write
    {
        std::uint64_t m_if_version = 0;
        share_ledger m_ledger;
    };

    std::optional<pending_call> finish_call(std::uint64_t number);
    ledger_call start_call(ledger_call call, state::time_point now);
    void apply_ledger(share_ledger const& ledger, std::uint64_t version,
                      state::time_point requested_at, state::time_point now);
    void add_uncertain_write(ledger_call const& write);
    void back_off(state::duration max_backoff, state::time_point now);
    double next_jitter() const;
    bool confirmed_within(state::duration age, state::time_point now) const;
    bool in_contact(state::time_point now) const;
    std::vector<std::uint64_t> due_retirements(state::time_point now) const;
    bool may_rebalance(state::time_point now) const;
    std::int64_t confirmed_amount(share_key const& key) const;
    std::int64_t amount_in(share_ledger const& ledger,
                           share_key const& key) const;
    std::int64_t fallback_amount(share_key const& key) const;

    share_home_state m_home;
    share_timing m_timing;
    double m_jitter;
    std::int64_t m_fallback_homes = 0;
    std::optional<state::time_point> m_last_contact;
    state::time_point m_contact_since; ///< without a gap

    share_ledger m_ledger;
    std::uint64_t m_version = 0;
    std::optional<state::time_point> m_confirmed;
    std::vector<uncertain_write> m_uncertain_writes;
    std::map<std::uint64_t, state::time_point> m_first_seen; ///< first seen

    std::optional<pending_call> m_pending_call;
    std::uint64_t m_last_number = 0;
    bool m_stale = true; ///< must read before the next write
    state::duration m_backoff{};
    state::time_point m_next_call_at;
    std::optional<state::time_point> m_last_rebalance;
};

} // namespace camphortide::coordination
