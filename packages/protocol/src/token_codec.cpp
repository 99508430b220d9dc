#include <algorithm>
#include <array>
#include <cassert>
#include <utility>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <camphortide/protocol/token_codec.hpp>
#include <camphortide/token/v1/token.pb.h>

namespace camphortide::protocol
{

namespace
{

constexpr std::size_t signature_bytes = 32;

std::string signature_of(std::string const& key, std::string const& body)
{
    std::string const message =
        std::string(1, static_cast<char>(token_codec::version)) + body;
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned size = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
         reinterpret_cast<unsigned char const*>(message.data()), message.size(),
         digest.data(), &size);
    return {reinterpret_cast<char const*>(digest.data()), size};
}

bool signed_with(std::string const& key, token::v1::SignedToken const& token)
{
    auto const expected = signature_of(key, token.body());
    return token.signature().size() == signature_bytes &&
           expected.size() == signature_bytes &&
           CRYPTO_memcmp(expected.data(), token.signature().data(),
                         signature_bytes) == 0;
}

state::session_token from_proto(token::v1::TokenBody const& body)
{
    std::vector<state::group_position> positions;
    positions.reserve(static_cast<std::size_t>(body.positions_size()));
    for (auto const& entry : body.positions())
    {
        positions.push_back(
            {entry.group(), {state::term(entry.term()), entry.index()}});
    }
    return state::session_token(std::move(positions), !body.incomplete());
}

std::string to_body(state::session_token const& token)
{
    token::v1::TokenBody body;
    for (auto const& entry : token.positions())
    {
        auto& added = *body.add_positions();
        added.set_group(entry.m_group);
        added.set_term(entry.m_position.m_term.value());
        added.set_index(entry.m_position.m_index);
    }
    body.set_incomplete(!token.complete());
    return body.SerializeAsString();
}

} // namespace

std::string_view to_string(token_error value)
{
    switch (value)
    {
    case token_error::too_large:
        return "too_large";
    case token_error::damaged:
        return "damaged";
    case token_error::wrong_version:
        return "wrong_version";
    case token_error::forged:
        return "forged";
    }
    return "invalid";
}

token_codec::token_codec(std::vector<std::string> keys)
    : m_keys(std::move(keys))
{
    assert(!m_keys.empty());
}

std::string token_codec::encode(state::session_token const& token) const
{
    if (token.positions().empty() && token.complete())
    {
        return {};
    }
    token::v1::SignedToken message;
    message.set_version(version);
    message.set_body(to_body(token));
    message.set_signature(signature_of(m_keys.front(), message.body()));
    return message.SerializeAsString();
}

decoded_token token_codec::decode(std::string_view bytes) const
{
    if (bytes.empty())
    {
        return state::session_token();
    }
    if (bytes.size() > max_bytes)
    {
        return token_error::too_large;
    }
    token::v1::SignedToken message;
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
    {
        return token_error::damaged;
    }
    if (message.version() != version)
    {
        return message.version() == 0 ? token_error::damaged
                                      : token_error::wrong_version;
    }
    if (std::ranges::none_of(m_keys, [&](auto const& key)
                             { return signed_with(key, message); }))
    {
        return token_error::forged;
    }
    token::v1::TokenBody body;
    if (!body.ParseFromString(message.body()))
    {
        return token_error::damaged;
    }
    return from_proto(body);
}

} // namespace camphortide::protocol
