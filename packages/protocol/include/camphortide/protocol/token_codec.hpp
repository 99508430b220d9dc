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
    damaged,       ///< not a token's encoding
    wrong_version, ///< made by a release whose form is not known here
    forged         ///< signed with none of the keys
};

/// @return the error's name as logs and reports print it
std::string_view to_string(token_error value);

/// A session token, or why there is none.
using decoded_token = std::variant<state::session_token, token_error>;

/// Turns session tokens into signed bytes and back. May be used by many
/// threads at once.
class token_codec
{
public:
    static constexpr std::size_t max_bytes = 8192;
    static constexpr unsigned version = 1;

    /// @param keys the first one signs, all verify; at least one
    explicit token_codec(std::vector<std::string> keys);

    /// Encodes and signs a token.
    /// @return at most max_bytes bytes; empty for an empty complete token
    std::string encode(state::session_token const& token) const;

    /// Verifies and decodes a token.
    /// @param bytes as a caller sent them; empty at the start of a session
    /// @return the token, or the typed error; never a token that was not
    ///     signed by one of the keys
    decoded_token decode(std::string_view bytes) const;

private:
    std::vector<std::string> m_keys;
};

} // namespace camphortide::protocol
