#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <camphortide/coordination/fleet/catalogue_codec.hpp>
#include <camphortide/state/catalogue.hpp>
#include <camphortide/state/catalogue_head.hpp>

namespace camphortide::coordination
{

/// Number of buckets that records are distributed over by the hash of their
/// name. Each non-empty bucket is stored as one chunk.
inline constexpr std::uint32_t catalogue_buckets = 64;

/// Names of the objects in the platform's store.
inline constexpr std::string_view catalogue_head_object = "catalogue/head";
inline constexpr std::string_view catalogue_chunk_prefix = "catalogue/chunks/";

/// Bytes of a chunk, shared between versions.
using chunk_bytes = std::shared_ptr<std::string const>;

/// Chunks by name.
using chunk_map = std::map<std::string, chunk_bytes>;

/// A head with some of its chunks: the value of the head's object, and the
/// message with which an instance passes a catalogue to a peer.
struct catalogue_parts
{
    state::catalogue_head m_head;
    chunk_map m_chunks;
};

/// @param name the name of an entry or a group
/// @return the bucket that contains it
std::uint32_t bucket_of(std::string_view name);

/// Builds a catalogue from its chunks.
/// @param head the head
/// @param chunks at least the chunks that the head references
/// @param codec decodes them
/// @return the catalogue; none if a chunk is missing or damaged
std::optional<state::catalogue> assemble(state::catalogue_head const& head,
                                         chunk_map const& chunks,
                                         catalogue_codec const& codec);

/// Distributes the records over buckets.
/// @param value the catalogue
/// @return the content of each non-empty bucket
std::map<std::uint32_t, chunk_content>
split_into_buckets(state::catalogue const& value);

} // namespace camphortide::coordination
