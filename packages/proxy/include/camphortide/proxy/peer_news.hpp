#pragma once

#include <compare>
#include <optional>
#include <string>

#include <camphortide/proxy/object_mirror.hpp>
#include <camphortide/state/clock.hpp>

namespace camphortide::proxy
{

/// Asks another instance for what changed in the store. It answers when
/// something has, or when it has listed anew, or after the wait.
struct news_request
{
    platform::object_kind m_kind = platform::object_kind::configuration;
    news_cursor m_cursor; ///< of that instance's last answer
    state::duration m_wait{};

    friend auto operator<=>(news_request const&, news_request const&) = default;
};

/// What the other instance knows.
struct news_response
{
    mirror_page m_page;
    /// since a listing was sent that all of this is as new as
    state::duration m_proof_age{};
    /// since the last call to the store succeeded
    state::duration m_heard_age{};

    friend auto operator<=>(news_response const&,
                            news_response const&) = default;
};

inline constexpr char const* news_path = "/news";

platform::http_request encode(news_request const& message);
platform::http_response encode(news_response const& message);

/// @param target of the HTTP request
/// @return nothing if it isn't the message
std::optional<news_request> decode_news_request(std::string const& target);
/// @return nothing if the body isn't the message
std::optional<news_response> decode_news_response(std::string const& body);

} // namespace camphortide::proxy
