#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include <camphortide/state/catalogue_entry.hpp>

namespace camphortide::state
{

/// Refers to the object that holds one part of a catalogue. An object name is
/// never reused for other content.
struct chunk_reference
{
    std::string m_name;         ///< object name, without the prefix of chunks
    std::string m_digest;       ///< SHA-256 of the content, 32 bytes
    std::uint32_t m_bucket = 0; ///< bucket of the records that it holds
    std::uint64_t m_since = 0;  ///< catalogue version that introduced it

    friend auto operator<=>(chunk_reference const&,
                            chunk_reference const&) = default;
};

/// An accepted change of the catalogue.
struct accepted_change
{
    change_stamp m_stamp;
    std::vector<std::string> m_records; ///< names of entries and groups

    friend auto operator<=>(accepted_change const&,
                            accepted_change const&) = default;
};

/// The head of the catalogue: lists the chunks that make up one version.
struct catalogue_head
{
    std::uint64_t m_version = 0;
    std::vector<chunk_reference> m_chunks;  ///< ordered by bucket
    std::vector<accepted_change> m_history; ///< latest changes, oldest first
    std::vector<std::string> m_barred;      ///< ids of changes to be rejected

    friend auto operator<=>(catalogue_head const&,
                            catalogue_head const&) = default;
};

} // namespace camphortide::state
