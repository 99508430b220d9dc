#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include <camphortide/coordination/fleet/catalogue_parts.hpp>
#include <camphortide/state/clock.hpp>

namespace camphortide::coordination
{

/// Tells a peer which version this instance has in force.
struct catalogue_offer
{
    std::uint64_t m_version = 0; ///< 0: none
    bool m_wants_answer = false; ///< request an offer in return
    /// Time since the store confirmed the version.
    state::duration m_confirmed_age{};

    friend auto operator<=>(catalogue_offer const&,
                            catalogue_offer const&) = default;
};

/// Requests the head and chunks of a peer.
struct catalogue_request
{
    std::uint64_t m_have = 0; ///< chunks up to this version aren't needed
    std::vector<std::string> m_chunks; ///< if not empty: only these chunks

    friend auto operator<=>(catalogue_request const&,
                            catalogue_request const&) = default;
};

/// Action: start to watch the head's object in the store, and read it.
struct start_watch
{
};

/// Action: stop watching.
struct stop_watch
{
};

/// Action: read the head's object.
struct get_head
{
};

/// Action: read a chunk's object.
struct get_chunk
{
    std::string m_chunk;
};

/// Action: send an offer.
struct send_offer
{
    std::string m_peer;
    catalogue_offer m_offer;
};

/// Action: send a request.
struct send_request
{
    std::string m_peer;
    catalogue_request m_request;
};

/// Action: send parts.
struct send_parts
{
    std::string m_peer;
    catalogue_parts m_parts;
};

/// Action: put a version in force. Versions only increase.
struct apply_catalogue
{
    state::catalogue_head m_head;
    chunk_map m_chunks;
};

using follower_action =
    std::variant<start_watch, stop_watch, get_head, get_chunk, send_offer,
                 send_request, send_parts, apply_catalogue>;

} // namespace camphortide::coordination
