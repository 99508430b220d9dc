#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include <camphortide/coordination/fleet/catalogue_edit.hpp>
#include <camphortide/protocol/protobuf_catalogue_codec.hpp>

/// The platform's store as the catalogue uses it, with counts of its calls.
class object_store
{
public:
    /// Carries a change out in one go, as a writer with no other would.
    /// @param change the change
    /// @return the outcome
    camphortide::coordination::edit_outcome
    edit(camphortide::coordination::catalogue_change const& change);

    /// @return bytes of the head's object; empty if there is none
    std::string const& head() const { return m_head; }

    /// @param name of a chunk
    /// @return its bytes; null if there is no such object
    std::string const* chunk(std::string const& name) const;

    /// @return bytes of all chunks
    std::size_t chunk_bytes() const;

    /// @return calls that the latest edit made
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
