#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include <camphortide/coordination/fleet/catalogue_edit.hpp>

/// The part of the platform's store that the catalogue uses.
class store_stub
{
public:
    using catalogue_parts = camphortide::coordination::catalogue_parts;
    using chunk_bytes = camphortide::coordination::chunk_bytes;
    using write_reply = camphortide::coordination::write_reply;

    std::optional<catalogue_parts> head() const { return m_head; }
    std::uint64_t head_version() const { return m_head_version; }

    chunk_bytes chunk(std::string const& name) const
    {
        auto const found = m_chunks.find(name);
        return found == m_chunks.end() ? nullptr : found->second;
    }

    write_reply create(camphortide::coordination::create_chunk const& call)
    {
        ++m_version;
        return m_chunks.emplace(call.m_chunk, call.m_bytes).second
                   ? write_reply::done
                   : write_reply::conflict;
    }

    write_reply write(camphortide::coordination::write_head const& call)
    {
        if (call.m_if_version != m_head_version)
        {
            return write_reply::conflict;
        }
        m_head = call.m_parts;
        m_head_version = ++m_version;
        return write_reply::done;
    }

    void remove(std::string const& name) { m_chunks.erase(name); }

    std::size_t chunks() const { return m_chunks.size(); }

private:
    std::uint64_t m_version = 0;
    std::uint64_t m_head_version = 0;
    std::optional<catalogue_parts> m_head;
    std::map<std::string, chunk_bytes> m_chunks;
};
