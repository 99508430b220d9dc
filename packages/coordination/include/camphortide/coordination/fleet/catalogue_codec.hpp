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

/// Turns chunks into stored bytes and back. Implementations keep no state.
class catalogue_codec
{
public:
    catalogue_codec() = default;
    catalogue_codec(catalogue_codec const&) = delete;
    catalogue_codec& operator=(catalogue_codec const&) = delete;
    virtual ~catalogue_codec() = default;

    /// @param content the records of a chunk
    /// @return the bytes to store, alike for alike records
    virtual std::string encode(chunk_content const& content) const = 0;

    /// @param bytes what is stored
    /// @return the records; none if the bytes are damaged
    virtual std::optional<chunk_content>
    decode(std::string_view bytes) const = 0;

    /// @param bytes what is stored
    /// @return the digest that a reference to it carries
    virtual std::string digest(std::string_view bytes) const = 0;
};

} // namespace camphortide::coordination
