#include "stored_catalogue.hpp"

#include <memory>
#include <optional>
#include <string>
#include <utility>

#include <camphortide/coordination/fleet/catalogue_parts.hpp>
#include <camphortide/protocol/catalogue_conversion.hpp>
#include <camphortide/protocol/protobuf_catalogue_codec.hpp>

namespace camphortide::command_line
{

namespace
{

/// A concurrent change may remove chunks while they are read. The read then
/// starts again from the head.
constexpr int max_attempts = 10;

using transport::failure_of;
using transport::platform_failure;

/// Reads the chunks that are not inlined in the head object.
absl::Status read_chunks(blocking_platform_client& platform,
                         coordination::catalogue_parts& parts)
{
    for (auto const& reference : parts.m_head.m_chunks)
    {
        if (parts.m_chunks.count(reference.m_name) > 0)
        {
            continue;
        }
        auto const object =
            platform.get(std::string(coordination::catalogue_chunk_prefix) +
                         reference.m_name);
        if (!object.ok())
        {
            return object.status();
        }
        parts.m_chunks.emplace(
            reference.m_name,
            std::make_shared<std::string const>(object->m_value));
    }
    return absl::OkStatus();
}

absl::StatusOr<stored_catalogue>
assemble_catalogue(coordination::catalogue_parts parts)
{
    protocol::protobuf_catalogue_codec const codec;
    auto catalogue = assemble(parts.m_head, parts.m_chunks, codec);
    if (!catalogue)
    {
        return absl::DataLossError("the stored catalogue is damaged");
    }
    return stored_catalogue{std::move(parts.m_head), std::move(*catalogue)};
}

} // namespace

absl::StatusOr<stored_catalogue>
read_catalogue(blocking_platform_client& platform)
{
    absl::Status status;
    for (int attempt = 0; attempt < max_attempts; ++attempt)
    {
        auto const object =
            platform.get(std::string(coordination::catalogue_head_object));
        if (failure_of(object.status()) == platform_failure::not_found)
        {
            return stored_catalogue{};
        }
        if (!object.ok())
        {
            return object.status();
        }
        auto parts = protocol::decode_head_object(object->m_value);
        if (!parts)
        {
            return absl::DataLossError("the stored head is damaged");
        }
        status = read_chunks(platform, *parts);
        if (status.ok())
        {
            return assemble_catalogue(std::move(*parts));
        }
        if (failure_of(status) != platform_failure::not_found)
        {
            return status;
        }
    }
    return status;
}

} // namespace camphortide::command_line
