#pragma once

#include <compare>

#include <camphortide/state/clock.hpp>

namespace camphortide::coordination
{

/// Timeouts and intervals by which an instance monitors a database group and
/// changes its primary.
struct group_settings
{
    /// Time between two probes of each member in normal operation.
    state::duration m_probe_interval{400};
    /// Minimum time between two probes when the allowed ages of answers require
    /// more frequent probes.
    state::duration m_min_probe_interval{100};
    /// Time between two probes while there is no usable primary, the primary is
    /// overdue, or a switchover is in progress.
    state::duration m_fast_probe_interval{20};
    /// Time without an answer of the primary, at this instance and at a
    /// majority of the members, after which it is deposed.
    state::duration m_suspicion{500};
    /// The same after the connection of this instance to the primary was lost;
    /// limited to m_suspicion.
    state::duration m_broken_suspicion{150};
    /// Time without contact between the primary and a majority of the members
    /// after which it is deposed although it answers this instance; at least
    /// m_suspicion.
    state::duration m_isolation{1500};
    /// Maximum age of a member's status to count as a vote.
    state::duration m_freshness{250};
    /// How long the primary must count as failed before a promotion starts.
    state::duration m_settle{20};
    /// Maximum random addition to m_settle.
    state::duration m_jitter{100};
    /// A longer time between two inputs means that this instance was paused.
    state::duration m_pause_limit{150};
    /// Time between two attempts to send a message whose reply is missing.
    state::duration m_retry_interval{25};
    /// Timeout of a promotion.
    state::duration m_promotion_timeout{400};
    /// How long to wait for a more suitable candidate after a majority granted
    /// the term.
    state::duration m_gather{20};
    /// First wait after a failed promotion; doubles up to m_backoff_limit.
    state::duration m_backoff{40};
    state::duration m_backoff_limit{640};
    /// Maximum time that writes are paused for a switchover.
    state::duration m_switchover_timeout{2000};
    /// Minimum time between two switchovers that the monitor starts by itself.
    state::duration m_switchover_interval{5000};
    /// How long a member may hold a term above that of the primary before the
    /// primary is promoted again in a higher term.
    state::duration m_repair_delay{1000};

    friend auto operator<=>(group_settings const&,
                            group_settings const&) = default;
};

} // namespace camphortide::coordination
