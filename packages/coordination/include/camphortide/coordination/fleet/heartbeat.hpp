#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include <camphortide/state/clock.hpp>
#include <camphortide/state/instance_record.hpp>

namespace camphortide::coordination
{

/// What a heartbeat requests or answers.
enum class heartbeat_kind
{
    probe,  ///< requests an answer
    answer, ///< to a probe, or to a join that isn't answered with the view
    gossip, ///< urgent records; no answer is expected
    join,   ///< a new instance requests the whole view
    welcome ///< the whole view, in answer to a join
};

/// Versions that an instance has, so that peers can request newer ones.
struct held_versions
{
    std::uint64_t m_catalogue = 0;
    std::uint64_t m_stops = 0;
    /// Time since the store confirmed the catalogue.
    state::duration m_confirmed_age{};

    friend auto operator<=>(held_versions const&,
                            held_versions const&) = default;
};

/// A message between instances about which of them are live.
struct heartbeat
{
    heartbeat_kind m_kind = heartbeat_kind::probe;
    state::instance_record m_sender;
    std::uint64_t m_sequence = 0; ///< set by the probe, repeated in its answer
    /// Over the sender's view of the live instances.
    std::uint64_t m_checksum = 0;
    held_versions m_held;
    /// Limited in number, except in a welcome.
    std::vector<state::instance_record> m_records;

    friend auto operator<=>(heartbeat const&, heartbeat const&) = default;
};

/// Action: send a heartbeat.
struct outgoing_heartbeat
{
    std::string m_name; ///< empty if only the address is known
    std::string m_address;
    heartbeat m_heartbeat;
};

} // namespace camphortide::coordination
