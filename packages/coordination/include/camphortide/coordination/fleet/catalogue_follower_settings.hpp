#pragma once

#include <cstddef>

#include <camphortide/state/clock.hpp>

namespace camphortide::coordination
{

/// Times and bounds of a catalogue follower.
struct catalogue_follower_settings
{
    state::duration m_poll_interval{
        1000}; ///< between reads by any of the watchers
    state::duration m_max_poll_interval{
        10'000}; ///< between reads by one of them
    state::duration m_first_read_spread{
        500}; ///< newcomers' first reads spread over
    state::duration m_min_retry_delay{
        250}; ///< after a failed call of the store
    state::duration m_max_retry_delay{2000};
    state::duration m_call_timeout{10'000}; ///< a call of the store is given up
    state::duration m_peer_timeout{1000};   ///< a request to a peer is given up
    state::duration m_survey_interval{500}; ///< between a newcomer's questions
    state::duration m_survey_timeout{3000}; ///< until most answers are enough
    state::duration m_staleness_limit{
        4000};                     ///< unconfirmed for so long: read the store
    std::size_t m_watchers = 2;    ///< in each data centre
    std::size_t m_offer_peers = 4; ///< receivers of a new version
    std::size_t m_survey_peers = 64;        ///< questions sent at a time
    std::size_t m_max_chunk_reads = 8;      ///< chunks read at a time
    std::size_t m_max_part_bytes = 262'144; ///< chunk bytes in one message
    std::size_t m_stale_reads_per_second =
        5; ///< by all instances in a second, about
};

} // namespace camphortide::coordination
