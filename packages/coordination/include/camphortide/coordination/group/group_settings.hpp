#pragma once

#include <compare>

#include <camphortide/state/clock.hpp>

namespace camphortide::coordination
{

/// The times by which an instance watches a database group and changes its
/// primary.
struct group_settings
{
    /// Between two probes of each member while all is well.
    state::duration m_probe_interval{400};
    /// Least time between two probes that the ages of answers may ask for.
    state::duration m_min_probe_interval{100};
    /// Between two probes while there is no usable primary, the primary is
    /// late, or a switchover runs.
    state::duration m_fast_probe_interval{20};
    /// Silence of the primary, here and at a majority of the members, after
    /// which it is deposed.
    state::duration m_suspicion{500};
    /// The same once the connection to the primary broke here; at most
    /// m_suspicion counts.
    state::duration m_broken_suspicion{150};
    /// Silence at a majority of the members after which a primary is deposed
    /// although it answers this instance; at least m_suspicion.
    state::duration m_isolation{1500};
    /// Age up to which a member's status counts as a vote.
    state::duration m_freshness{250};
    /// How long the signs must hold before a promotion starts.
    state::duration m_settle{20};
    /// Greatest random addition to m_settle.
    state::duration m_jitter{100};
    /// A gap between two inputs beyond which this instance was paused.
    state::duration m_pause_limit{150};
    /// Between two tries of a message whose reply is missing.
    state::duration m_retry_interval{25};
    /// How long a promotion may take before it is given up.
    state::duration m_promotion_timeout{400};
    /// How long to wait for a better candidate once a majority granted.
    state::duration m_gather{20};
    /// First wait after a lost promotion; doubles up to m_backoff_limit.
    state::duration m_backoff{40};
    state::duration m_backoff_limit{640};
    /// How long writes may be paused for a switchover.
    state::duration m_switchover_timeout{2000};
    /// Between two switchovers that the monitor starts by itself.
    state::duration m_switchover_interval{5000};
    /// How long a member may hold a term above the primary's before the
    /// primary is promoted again above it.
    state::duration m_repair_delay{1000};

    friend auto operator<=>(group_settings const&,
                            group_settings const&) = default;
};

} // namespace camphortide::coordination
