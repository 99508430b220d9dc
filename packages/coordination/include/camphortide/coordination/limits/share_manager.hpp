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

/// Timeouts and intervals of a share manager.
struct share_timing
{
    state::duration m_lease{10000}; ///< from before the request was sent
    /// From when a retirement was first seen until its shares may be freed.
    state::duration m_takeover_delay{15000};
    /// Must be less than the time after which a home is considered gone.
    state::duration m_contact_timeout{4000};
    state::duration m_refresh_interval{4000}; ///< between reads of the ledger
    /// Between changes of the stated demand.
    state::duration m_rebalance_interval{5000};
    state::duration m_min_backoff{250};
    state::duration m_max_backoff{8000};
    state::duration m_call_timeout{5000}; ///< of a call to the store

    friend auto operator<=>(share_timing const&, share_timing const&) = default;
};

/// A call to the platform's store.
struct ledger_call
{
    /// Identifies the call when its result is reported.
    std::uint64_t m_number = 0;
    bool m_write = false;  ///< a conditional update, else a read
    share_ledger m_ledger; ///< to write
    std::uint64_t m_if_version = 0;

    friend auto operator<=>(ledger_call const&, ledger_call const&) = default;
};

/// How strongly a home may rely on its share.
enum class share_guarantee
{
    exclusive, ///< nobody else can use it
    /// Can't be confirmed; whatever enforces the limit must also agree.
    provisional
};

/// What a home may use of a limit at a given time.
struct share_allowance
{
    std::int64_t m_amount = 0;
    share_guarantee m_guarantee = share_guarantee::provisional;

    friend auto operator<=>(share_allowance const&,
                            share_allowance const&) = default;
};

/// Requests, renews and releases one home's shares of the limits of one group.
/// Each home raises and lowers only its own shares, within what is free in the
/// ledger; the shares of a home that is gone are first retired, and become free
/// only when that home can no longer use them.
/// docs/design/connection-budgets.md proves that the exclusive shares never add
/// up to more than the limit. Not thread-safe: the code that uses a share,
/// allowance(), set_demand() and step() must run under one lock.
class share_manager
{
public:
    /// @param self this home
    /// @param timing must be the same at every home
    /// @param jitter in [0, 1), different at each home; spreads their calls
    share_manager(holder_id self, share_timing timing, double jitter);

    /// Applies the limits that are in force.
    /// @param version increases with every change; a version older than that of
    ///     the ledger has no effect
    void set_limits(std::uint64_t version, std::vector<share_limit> limits);

    /// Sets the number of homes of the group in this home's view. Homes that
    /// are not in the ledger yet have their parts left free.
    void set_homes(std::int64_t homes) { m_home.m_homes = homes; }

    /// Updates this home's demand for a limit.
    void set_demand(share_key const& key, share_demand demand);

    /// Updates the holders that are permanently gone, in this home's view.
    void set_gone(std::vector<holder_id> gone);

    /// Records that a majority of the instances answered. If this contact had
    /// no gap since the ledger was last confirmed, a home continues to use its
    /// shares after its lease has expired: no other home can have considered it
    /// gone. A home that was out of contact retires no other home until the
    /// contact has lasted for m_contact_timeout.
    /// @param requested_at a time before the requests to them were sent
    void set_contact(state::time_point requested_at);

    /// Sets among how many homes the limits are divided while the store is
    /// unavailable and no live instance holds a share. A home that has never
    /// read the ledger then uses an even part of each limit.
    /// @param homes the number of homes; 0 if an instance holds shares
    void set_fallback_homes(std::int64_t homes) { m_fallback_homes = homes; }

    /// Starts to release all shares, each as soon as it is no longer in use.
    void leave() { m_home.m_leaving = true; }

    /// Participates again after leave(), like a new home.
    void rejoin() { m_home.m_leaving = false; }

    /// Decides on the next call to the store. Must be called every few hundred
    /// ms.
    /// @return the call, if one is due; at most one call is pending at a time
    std::optional<ledger_call> step(state::time_point now);

    /// Handles the reply to a read.
    /// @param version 0 if there is no ledger yet
    /// @param now must be read from the clock after the reply arrived; the same
    ///     holds for the functions below
    void read_done(std::uint64_t number, share_ledger const& ledger,
                   std::uint64_t version, state::time_point now);

    /// Handles a write that took effect.
    void write_done(std::uint64_t number, std::uint64_t version,
                    state::time_point now);

    /// Handles a write that was refused because the version had changed.
    void write_conflict(std::uint64_t number, state::time_point now);

    /// Handles a call that failed or whose result is unknown.
    void call_failed(std::uint64_t number, state::time_point now);

    /// Records a peer's confirmation that a version of the ledger is current.
    /// @param requested_at a time before the peer sent its request to the store
    void confirmed(std::uint64_t version, state::time_point requested_at);

    /// @return what this home may use now; must be queried right before use
    share_allowance allowance(share_key const& key,
                              state::time_point now) const;

    /// @return true once this home has left and holds no share
    bool left() const;

    std::uint64_t version() const { return m_version; }
    share_ledger const& ledger() const { return m_ledger; }

private:
    struct pending_call
    {
        ledger_call m_call;
        state::time_point m_sent;
    };

    /// A write whose result is unknown and that may still take effect.
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
    state::time_point m_contact_since; ///< start of the contact without a gap

    share_ledger m_ledger;
    std::uint64_t m_version = 0;
    std::optional<state::time_point> m_confirmed;
    std::vector<uncertain_write> m_uncertain_writes;
    /// When each retirement was first seen, by number.
    std::map<std::uint64_t, state::time_point> m_first_seen;

    std::optional<pending_call> m_pending_call;
    std::uint64_t m_last_number = 0;
    bool m_stale = true; ///< the ledger must be read before the next write
    state::duration m_backoff{};
    state::time_point m_next_call_at;
    std::optional<state::time_point> m_last_rebalance;
};

} // namespace camphortide::coordination
