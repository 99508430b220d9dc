#pragma once

#include <cstddef>

#include <camphortide/state/clock.hpp>

namespace camphortide::coordination
{

/// Times and bounds of membership.
struct membership_settings
{
    state::duration m_interval{1000}; ///< between an instance's heartbeats
    state::duration m_answer_timeout{2500};    ///< silence that makes suspected
    state::duration m_suspicion_timeout{2500}; ///< time to object before gone
    state::duration m_pause_threshold{
        1000}; ///< gap between ticks that is a pause
    state::duration m_gossip_interval{250}; ///< between urgent messages
    state::duration m_retention{600'000};   ///< how long a gone one is kept
    std::size_t m_max_observed = 3; ///< instances that one instance observes
    std::size_t m_gossip_peers = 4; ///< receivers of an urgent message
    std::size_t m_max_gossip_records = 8; ///< records in a heartbeat
    std::size_t m_max_slice_records = 24; ///< records when views differ
    std::size_t m_max_welcomes = 4;       ///< whole views sent in an interval
    std::size_t m_max_version_probes =
        32; ///< probes for versions sent in an interval
    std::size_t m_max_records = 4096; ///< instances kept
};

} // namespace camphortide::coordination
