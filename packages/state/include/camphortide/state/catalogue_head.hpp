#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include <camphortide/state/catalogue_entry.hpp>

namespace camphortide::state
{

/// Names the object that holds a part of a catalogue. A name is used for one
/// content only and never again.
struct chunk_reference
{
    std::string m_name;         ///< of the object, below the chunks' prefix
    std::string m_digest;       ///< SHA-256 of the value, 32 bytes
    std::uint32_t m_bucket = 0; ///< which records it holds
    std::uint64_t m_since = 0;  ///< catalogue version that introduced it

    friend auto operator<=>(chunk_reference const&,
                            chunk_reference const&) = default;
};

/// A change that was accepted.
struct accepted_change
{
    change_stamp m_stamp;
    std::vector<std::string> m_records; ///< names of entries and groups

    friend auto operator<=>(accepted_change const&,
                            accepted_change const&) = default;
};

/// The head of the catalogue: what a version consists of.
struct catalogue_head
{
    std::uint64_t m_version = 0;
    std::vector<chunk_reference> m_chunks;  ///< by bucket
    std::vector<accepted_change> m_history; ///< the latest changes, in order
    std::vector<std::string> m_barred;      ///< changes never to be accepted

    friend auto operator<=>(catalogue_head const&,
                            catalogue_head const&) = default;
};

} // namespace camphortide::state
