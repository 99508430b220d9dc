#pragma once

#include <cstddef>

#include <camphortide/state/clock.hpp>

namespace camphortide::coordination
{

/// Times and bounds of a catalogue follower.
struct catalogue_follower_settings
{
    /// Average time between reads of the head, by all watchers together.
    state::duration m_poll_interval{1000};
    /// Upper bound of the time between two reads by one watcher.
    state::duration m_max_poll_interval{10'000};
    /// The first reads of new instances are distributed over this time.
    state::duration m_first_read_spread{500};
    /// Bounds of the delay after a failed call of the store.
    state::duration m_min_retry_delay{250};
    state::duration m_max_retry_delay{2000};
    state::duration m_call_timeout{10'000}; ///< of a call of the store
    state::duration m_peer_timeout{1000};   ///< of a request to a peer
    /// Time between the surveys in which a new instance requests the versions
    /// of its peers.
    state::duration m_survey_interval{500};
    /// After this time answers of a majority suffice instead of all.
    state::duration m_survey_timeout{3000};
    /// Age of the latest confirmation at which the store is read.
    state::duration m_staleness_limit{4000};
    std::size_t m_watchers = 2;             ///< in each data centre
    std::size_t m_offer_peers = 4;          ///< receivers of a new version
    std::size_t m_survey_peers = 64;        ///< requests in one survey
    std::size_t m_max_chunk_reads = 8;      ///< outstanding at a time
    std::size_t m_max_part_bytes = 262'144; ///< chunk bytes in one message
    /// Approximate limit of reads by all instances that are not watchers.
    std::size_t m_stale_reads_per_second = 5;
};

} // namespace camphortide::coordination
