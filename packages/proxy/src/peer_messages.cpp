#include <nlohmann/json.hpp>

#include <camphortide/proxy/peer_messages.hpp>

namespace camphortide::proxy
{

namespace
{

using nlohmann::json;

/// @return the revision in a message. Instances of earlier releases don't name
///     the era
state::store_revision revision_in(json const& root)
{
    return {root.at("revision").get<std::uint64_t>(),
            root.value("era", std::uint64_t{0})};
}

/// Parses a message field by field; a missing or mistyped field makes it
/// invalid.
template <typename Message, typename Read>
std::optional<Message> decode(std::string const& body, Read read)
{
    auto const root = json::parse(body, nullptr, false);
    if (!root.is_object())
    {
        return std::nullopt;
    }
    try
    {
        Message message;
        read(root, message);
        return message;
    }
    catch (json::exception const&)
    {
        return std::nullopt; // the caller handles an invalid message
    }
}

} // namespace

platform::http_request encode(close_request const& message)
{
    json const body{{"group", message.m_group},
                    {"revision", message.m_revision.number()},
                    {"era", message.m_revision.era()},
                    {"orderly", message.m_orderly}};
    return {"POST", close_path, body.dump(), {}};
}

platform::http_response encode(close_response const& message)
{
    json const body{{"instance", message.m_instance},
                    {"born", message.m_start_time},
                    {"revision", message.m_revision.number()},
                    {"era", message.m_revision.era()}};
    return {200, body.dump()};
}

platform::http_request encode(unreachable_report const& message)
{
    json const body{{"instance", message.m_instance},
                    {"group", message.m_group},
                    {"member", message.m_member}};
    return {"POST", unreachable_path, body.dump(), {}};
}

std::optional<close_request> decode_close_request(std::string const& body)
{
    return decode<close_request>(body,
                                 [](json const& root, close_request& result)
                                 {
                                     result.m_group =
                                         root.at("group").get<std::string>();
                                     result.m_revision = revision_in(root);
                                     result.m_orderly =
                                         root.at("orderly").get<bool>();
                                 });
}

std::optional<close_response> decode_close_response(std::string const& body)
{
    return decode<close_response>(
        body,
        [](json const& root, close_response& result)
        {
            result.m_instance = root.at("instance").get<std::string>();
            result.m_start_time = root.at("born").get<std::int64_t>();
            result.m_revision = revision_in(root);
        });
}

std::optional<unreachable_report>
decode_unreachable_report(std::string const& body)
{
    return decode<unreachable_report>(
        body,
        [](json const& root, unreachable_report& result)
        {
            result.m_instance = root.at("instance").get<std::string>();
            result.m_group = root.at("group").get<std::string>();
            result.m_member = root.at("member").get<std::string>();
        });
}

} // namespace camphortide::proxy
