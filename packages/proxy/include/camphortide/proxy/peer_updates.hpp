#pragma once

#include <compare>
#include <optional>
#include <string>

#include <camphortide/proxy/object_cache.hpp>
#include <camphortide/state/clock.hpp>

namespace camphortide::proxy
{

/// Requests store updates from another instance. It responds when an object has
/// changed, when it has verified its objects again, or after the wait.
struct update_request
{
    platform::object_kind m_kind = platform::object_kind::configuration;
    /// Cursor of that instance's last response.
    change_cursor m_cursor;
    state::duration m_wait{};
    /// Revision up to which the requester has all objects; the default value:
    /// it has none.
    state::store_revision m_known_revision = {};
    /// The contents of large objects may be omitted.
    bool m_accepts_references = false;
    /// False for an instance of an earlier release, whose revisions count as of
    /// the present era of the store.
    bool m_names_era = true;

    friend auto operator<=>(update_request const&,
                            update_request const&) = default;
};

/// The store updates of another instance. The ages are as of the response.
struct update_response
{
    change_page m_page;
    /// Time since the request of the listing that verified all objects.
    state::duration m_verified_age{};
    /// Time since the store's last successful response.
    state::duration m_response_age{};

    friend auto operator<=>(update_response const&,
                            update_response const&) = default;
};

inline constexpr char const* updates_path = "/news";

platform::http_request encode(update_request const& message);
platform::http_response encode(update_response const& message);

/// @param target target of the HTTP request
/// @return the message; nothing if the target is invalid
std::optional<update_request> decode_update_request(std::string const& target);
/// @return the message; nothing if the body is invalid
std::optional<update_response> decode_update_response(std::string const& body);

} // namespace camphortide::proxy
