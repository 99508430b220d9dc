#include <array>

#include <openssl/sha.h>

#include <camphortide/protocol/catalogue_conversion.hpp>
#include <camphortide/protocol/protobuf_catalogue_codec.hpp>

namespace camphortide::protocol
{

std::string protobuf_catalogue_codec::encode(
    coordination::chunk_content const& content) const
{
    catalogue::v1::Chunk message;
    for (auto const& entry : content.m_entries)
    {
        *message.add_entries() = to_proto(entry);
    }
    for (auto const& group : content.m_groups)
    {
        *message.add_groups() = to_proto(group);
    }
    return message.SerializeAsString();
}

std::optional<coordination::chunk_content>
protobuf_catalogue_codec::decode(std::string_view bytes) const
{
    catalogue::v1::Chunk message;
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
    {
        return std::nullopt;
    }
    coordination::chunk_content content;
    for (auto const& entry : message.entries())
    {
        content.m_entries.push_back(from_proto(entry));
    }
    for (auto const& group : message.groups())
    {
        content.m_groups.push_back(from_proto(group));
    }
    return content;
}

std::string protobuf_catalogue_codec::digest(std::string_view bytes) const
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> result{};
    SHA256(reinterpret_cast<unsigned char const*>(bytes.data()), bytes.size(),
           result.data());
    return {reinterpret_cast<char const*>(result.data()), result.size()};
}

} // namespace camphortide::protocol
