#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

#include <camphortide/platform/store_protocol.hpp>

namespace camphortide::proxy
{

/// Requests another instance to stop using a group's primary.
struct close_request
{
    std::string m_group;
    /// Revision of the closing record.
    state::store_revision m_revision;
    /// Statements and transactions in flight may finish first.
    bool m_orderly = false;

    friend auto operator<=>(close_request const&,
                            close_request const&) = default;
};

/// Confirms that an instance has stopped using the primary.
struct close_response
{
    std::string m_instance;
    /// Start time of the responding process, Unix milliseconds.
    std::int64_t m_start_time = 0;
    state::store_revision m_revision;

    friend auto operator<=>(close_response const&,
                            close_response const&) = default;
};

/// Reports to the instance that replaces primaries that a primary is
/// unreachable.
struct unreachable_report
{
    /// The reporting instance.
    std::string m_instance;
    std::string m_group;
    std::string m_member;

    friend auto operator<=>(unreachable_report const&,
                            unreachable_report const&) = default;
};

inline constexpr char const* close_path = "/close";
inline constexpr char const* unreachable_path = "/unreachable";
/// Liveness check of an instance. The response is a close_response with
/// revision 0.
inline constexpr char const* ping_path = "/ping";

platform::http_request encode(close_request const& message);
platform::http_response encode(close_response const& message);
platform::http_request encode(unreachable_report const& message);

/// @return the message; nothing if the body is invalid
std::optional<close_request> decode_close_request(std::string const& body);
std::optional<close_response> decode_close_response(std::string const& body);
std::optional<unreachable_report>
decode_unreachable_report(std::string const& body);

} // namespace camphortide::proxy
