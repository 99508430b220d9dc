#pragma once

#include <cstddef>

#include <camphortide/state/clock.hpp>

namespace camphortide::coordination
{

/// Times and bounds of membership.
struct membership_settings
{
    state::duration m_interval{1000}; ///< between an instance's heartbeats
    /// Time without a message after which an observed instance is suspected.
    state::duration m_answer_timeout{2500};
    /// Time in which a suspected instance can refute the suspicion; then it is
    /// considered gone.
    state::duration m_suspicion_timeout{2500};
    /// Gap between ticks that counts as a pause of this process.
    state::duration m_pause_threshold{1000};
    state::duration m_gossip_interval{250}; ///< between urgent messages
    /// How long a record that is not live is kept after its last change.
    state::duration m_retention{600'000};
    std::size_t m_max_observed = 3;        ///< observed by one instance
    std::size_t m_gossip_peers = 4;        ///< receivers of an urgent message
    std::size_t m_max_gossip_records = 8;  ///< gossiped in one heartbeat
    std::size_t m_max_slice_records = 24;  ///< sent at a time if views differ
    std::size_t m_max_welcomes = 4;        ///< whole views sent in an interval
    std::size_t m_max_version_probes = 32; ///< sent in an interval
    std::size_t m_max_records = 4096;      ///< records kept
};

} // namespace camphortide::coordination
