#pragma once

#include <camphortide/coordination/fleet/catalogue_codec.hpp>

namespace camphortide::protocol
{

/// Encodes chunks as camphortide.catalogue.v1.Chunk; digests are SHA-256.
class protobuf_catalogue_codec : public coordination::catalogue_codec
{
public:
    std::string
    encode(coordination::chunk_content const& content) const override;
    std::optional<coordination::chunk_content>
    decode(std::string_view bytes) const override;
    std::string digest(std::string_view bytes) const override;
};

} // namespace camphortide::protocol
