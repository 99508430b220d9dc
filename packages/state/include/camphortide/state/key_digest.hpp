#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace camphortide::state
{

/// SHA-256 digest of a caller's key. The key itself isn't kept.
class key_digest
{
public:
    /// Number of bytes of a digest.
    static constexpr std::size_t size = 32;

    /// An all-zero digest, which belongs to no key.
    key_digest() = default;

    /// Digests a key.
    /// @param key of any length
    explicit key_digest(std::string_view key);

    /// @return a hash for containers
    std::size_t hash() const;

    /// Compares in constant time.
    friend bool operator==(key_digest const& left, key_digest const& right);

private:
    std::array<unsigned char, size> m_bytes{};
};

} // namespace camphortide::state
