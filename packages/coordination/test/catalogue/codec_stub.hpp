#pragma once

#include <map>
#include <string>

#include <camphortide/coordination/fleet/catalogue_codec.hpp>
#include <camphortide/coordination/fleet/rendezvous.hpp>

/// Encodes records as a text that names them, and decodes only texts that it
/// encoded.
class codec_stub : public camphortide::coordination::catalogue_codec
{
public:
    using content = camphortide::coordination::chunk_content;

    std::string encode(content const& value) const override
    {
        std::string text;
        for (auto const& group : value.m_groups)
        {
            text += "group " + group.m_name + " " +
                    std::to_string(group.m_stamp.m_version) + " " +
                    std::to_string(group.m_slots) + "\n";
        }
        for (auto const& entry : value.m_entries)
        {
            text += "entry " + entry.m_name + " " + entry.m_stamp.m_change +
                    " " + std::to_string(entry.m_stamp.m_version) + " " +
                    std::to_string(entry.m_limits.m_rate) + "\n";
        }
        m_encoded[text] = value;
        return text;
    }

    std::optional<content> decode(std::string_view bytes) const override
    {
        auto const found = m_encoded.find(std::string(bytes));
        if (found == m_encoded.end())
        {
            return std::nullopt;
        }
        return found->second;
    }

    std::string digest(std::string_view bytes) const override
    {
        return std::to_string(camphortide::coordination::hash_name(bytes));
    }

private:
    mutable std::map<std::string, content> m_encoded;
};
