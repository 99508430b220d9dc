#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include <camphortide/coordination/fleet/catalogue_edit.hpp>
#include <camphortide/protocol/protobuf_catalogue_codec.hpp>

/// In-memory version of the platform's store with the objects of the catalogue.
class object_store
{
public:
    /// Applies a change at once, without concurrent writers.
    /// @param change the change
    /// @return the outcome
    camphortide::coordination::edit_outcome
    edit(camphortide::coordination::catalogue_change const& change);

    /// @return the stored head; empty if there is none
    std::string const& head() const { return m_head; }

    /// @param name name of a chunk
    /// @return its bytes, or null if it does not exist
    std::string const* chunk(std::string const& name) const;

    /// @return total size of all chunks in bytes
    std::size_t chunk_bytes() const;

    /// @return number of store calls of the last edit
    std::size_t edit_calls() const { return m_edit_calls; }

private:
    using edit_type = camphortide::coordination::catalogue_edit;

    edit_type::actions
    execute(edit_type& edit,
            camphortide::coordination::edit_action const& action);

    camphortide::protocol::protobuf_catalogue_codec m_codec;
    std::string m_head;
    std::uint64_t m_version = 0;
    std::map<std::string, std::string> m_chunks;
    std::size_t m_edit_calls = 0;
};
