#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <camphortide/state/catalogue_entry.hpp>
#include <camphortide/state/group_description.hpp>

namespace camphortide::coordination
{

/// The records of one chunk of the catalogue.
struct chunk_content
{
    std::vector<state::catalogue_entry> m_entries;
    std::vector<state::group_description> m_groups;

    friend bool operator==(chunk_content const&,
                           chunk_content const&) = default;
};

/// Encodes chunks for storage and decodes them. Implementations are stateless.
class catalogue_codec
{
public:
    catalogue_codec() = default;
    catalogue_codec(catalogue_codec const&) = delete;
    catalogue_codec& operator=(catalogue_codec const&) = delete;
    virtual ~catalogue_codec() = default;

    /// @param content the records of a chunk
    /// @return the bytes to store; equal records give equal bytes
    virtual std::string encode(chunk_content const& content) const = 0;

    /// @param bytes the stored bytes
    /// @return the records; none if the bytes are damaged
    virtual std::optional<chunk_content>
    decode(std::string_view bytes) const = 0;

    /// @param bytes the stored bytes
    /// @return the digest that the head's reference to the chunk contains
    virtual std::string digest(std::string_view bytes) const = 0;
};

} // namespace camphortide::coordination
