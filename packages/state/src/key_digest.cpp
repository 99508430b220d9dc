#include <cstring>

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <camphortide/state/key_digest.hpp>

namespace camphortide::state
{

static_assert(key_digest::size == SHA256_DIGEST_LENGTH);

key_digest::key_digest(std::string_view key)
{
    SHA256(reinterpret_cast<unsigned char const*>(key.data()), key.size(),
           m_bytes.data());
}

std::size_t key_digest::hash() const
{
    std::size_t value = 0;
    std::memcpy(&value, m_bytes.data(), sizeof value);
    return value;
}

bool operator==(key_digest const& left, key_digest const& right)
{
    return CRYPTO_memcmp(left.m_bytes.data(), right.m_bytes.data(),
                         key_digest::size) == 0;
}

} // namespace camphortide::state
