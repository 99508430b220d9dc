#include <algorithm>
#include <array>

#include <openssl/sha.h>

#include <camphortide/transport/access/authenticator.hpp>

namespace camphortide::transport
{

namespace
{

constexpr std::string_view scheme = "Bearer ";

std::string_view secret_of(grpc::CallbackServerContext const& context)
{
    auto const& metadata = context.client_metadata();
    auto const found = metadata.find("authorization");
    if (found == metadata.end())
    {
        return {};
    }
    std::string_view const value(found->second.data(), found->second.size());
    return value.substr(0, scheme.size()) == scheme
               ? value.substr(scheme.size())
               : std::string_view();
}

bool is_known(state::catalogue const& entries, std::string const& hash)
{
    return std::ranges::any_of(entries.entries(), [&](auto const& entry)
                               { return entry.m_credential_hash == hash; });
}

} // namespace

std::string credential_hash(std::string_view secret)
{
    static constexpr char digits[] = "0123456789abcdef";
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<unsigned char const*>(secret.data()), secret.size(),
           digest.data());
    std::string hex;
    hex.reserve(2 * digest.size());
    for (auto const byte : digest)
    {
        hex.push_back(digits[byte >> 4U]);
        hex.push_back(digits[byte & 15U]);
    }
    return hex;
}

authentication authenticate(grpc::CallbackServerContext const& context,
                            state::catalogue const& entries,
                            std::string_view entry)
{
    auto const secret = secret_of(context);
    if (secret.empty())
    {
        return state::reason::bad_credential;
    }
    auto const hash = credential_hash(secret);
    auto const* const found = entries.find_entry(entry);
    if (found != nullptr && found->m_credential_hash == hash)
    {
        return found;
    }
    if (!is_known(entries, hash))
    {
        return state::reason::bad_credential;
    }
    return found == nullptr ? state::reason::unknown_entry
                            : state::reason::wrong_customer;
}

} // namespace camphortide::transport
