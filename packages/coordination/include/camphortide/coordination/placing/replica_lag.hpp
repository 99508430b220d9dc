#pragma once

#include <optional>

#include <camphortide/state/clock.hpp>
#include <camphortide/state/log_position.hpp>

namespace camphortide::coordination
{

/// Estimates how far a replica is behind the primary, from the positions that
/// it reports and from the reads that it refuses. The estimate decides which
/// reads the replica receives, so it must recover without them: while it is
/// high, the replica is asked for its position, and an estimate that nothing
/// has confirmed for a while decreases.
class replica_lag
{
public:
    /// Records that the replica refused a read because it hadn't applied the
    /// required position. This never lowers the estimate.
    /// @param behind the least lag that explains the refusal
    void record_refusal(state::duration behind, state::time_point now);

    /// Records a position that the replica has applied.
    /// @param position that it reported
    /// @param behind the time since the primary advanced past it; zero if it
    ///     hasn't
    void record_applied(state::log_position position, state::duration behind,
                        state::time_point now);

    /// Records that the replica was asked for its position.
    void record_request(state::time_point now) { m_requested = now; }

    /// @return true if the replica is to be asked for its position: it lags
    ///     too much to receive many reads, whose replies would state it
    bool needs_request(state::time_point now) const;

    /// @return true if nothing has confirmed a high estimate recently; the
    ///     replica may then receive one read at a time as a trial
    bool unconfirmed(state::time_point now) const;

    /// @return the estimated lag
    state::duration value(state::time_point now) const;

    /// @return the last position that the replica is known to have applied
    std::optional<state::log_position> const& applied() const
    {
        return m_applied;
    }

private:
    std::optional<state::log_position> m_applied;
    state::duration m_lag{}; ///< at the last update
    state::time_point m_last_update;
    std::optional<state::time_point> m_requested; ///< without an answer so far
};

} // namespace camphortide::coordination
