#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include <camphortide/state/clock.hpp>
#include <camphortide/state/instance_record.hpp>

namespace camphortide::coordination
{

/// What a heartbeat asks for or answers.
enum class heartbeat_kind
{
    probe,  ///< wants an answer
    answer, ///< of a probe
    gossip, ///< urgent records; wants no answer
    join,   ///< a newcomer asks for the whole view
    welcome ///< the whole view
};

/// Versions that an instance holds, so that peers learn of newer ones.
struct held_versions
{
    std::uint64_t m_catalogue = 0;
    std::uint64_t m_stops = 0;
    state::duration m_confirmed_age{}; ///< since the store confirmed the first

    friend auto operator<=>(held_versions const&,
                            held_versions const&) = default;
};

/// A message between instances about who is live.
struct heartbeat
{
    heartbeat_kind m_kind = heartbeat_kind::probe;
    state::instance_record m_sender;
    std::uint64_t m_sequence = 0; ///< of the probe, and of its answer
    std::uint64_t m_checksum = 0; ///< of the sender's live instances
    held_versions m_held;
    std::vector<state::instance_record> m_records; ///< bounded in number

    friend auto operator<=>(heartbeat const&, heartbeat const&) = default;
};

/// An action: send a heartbeat.
struct outgoing_heartbeat
{
    std::string m_name; ///< empty if only the address is known
    std::string m_address;
    heartbeat m_heartbeat;
};

} // namespace camphortide::coordination
