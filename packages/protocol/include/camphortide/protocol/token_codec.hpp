#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <camphortide/state/session_token.hpp>

namespace camphortide::protocol
{

/// Why the bytes of a session token were refused.
enum class token_error
{
    too_large,     ///< longer than token_codec::max_bytes
    damaged,       ///< not the encoding of a token
    wrong_version, ///< of an unsupported version of the format
    forged         ///< not signed with any of the keys
};

/// @return the error's name, as printed in logs and reports
std::string_view to_string(token_error value);

/// A session token, or the error that prevented its decoding.
using decoded_token = std::variant<state::session_token, token_error>;

/// Encodes session tokens as signed bytes and decodes them. Thread-safe.
class token_codec
{
public:
    static constexpr std::size_t max_bytes = 8192;
    static constexpr unsigned version = 1;

    /// @param keys at least one key; the first one signs, all verify
    explicit token_codec(std::vector<std::string> keys);

    /// Encodes and signs a token.
    /// @return at most max_bytes bytes; empty for an empty complete token
    std::string encode(state::session_token const& token) const;

    /// Verifies and decodes a token.
    /// @param bytes bytes from a caller; empty at the start of a session
    /// @return the token, or the error; never a token that was not signed by
    ///     one of the keys
    decoded_token decode(std::string_view bytes) const;

private:
    std::vector<std::string> m_keys;
};

} // namespace camphortide::protocol
