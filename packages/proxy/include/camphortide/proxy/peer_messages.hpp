#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

#include <camphortide/platform/store_protocol.hpp>

namespace camphortide::proxy
{

/// Asks another instance to stop using a group's primary.
struct close_request
{
    std::string m_group;
    std::uint64_t m_revision = 0; ///< of the closing record
    bool m_orderly = false;       ///< what has begun may end before

    friend auto operator<=>(close_request const&,
                            close_request const&) = default;
};

/// The instance doesn't use the primary any more.
struct close_response
{
    std::string m_instance;
    std::int64_t m_start_time = 0; ///< of the process that answers
    std::uint64_t m_revision = 0;

    friend auto operator<=>(close_response const&,
                            close_response const&) = default;
};

/// Tells the instance that replaces primaries that one isn't reached.
struct unreachable_word
{
    std::string m_instance; ///< that doesn't reach it
    std::string m_group;
    std::string m_member;

    friend auto operator<=>(unreachable_word const&,
                            unreachable_word const&) = default;
};

inline constexpr char const* close_path = "/close";
inline constexpr char const* unreachable_path = "/unreachable";
/// Answered like a request to close, of no revision: the process is there.
inline constexpr char const* ping_path = "/ping";

platform::http_request encode(close_request const& message);
platform::http_response encode(close_response const& message);
platform::http_request encode(unreachable_word const& message);

/// @return nothing if the body isn't the message
std::optional<close_request> decode_close_request(std::string const& body);
std::optional<close_response> decode_close_response(std::string const& body);
std::optional<unreachable_word>
decode_unreachable_word(std::string const& body);

} // namespace camphortide::proxy
