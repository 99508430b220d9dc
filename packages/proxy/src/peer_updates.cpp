#include <charconv>

#include <camphortide/proxy/peer_updates.hpp>
#include <camphortide/proxy/v1/news.pb.h>

namespace camphortide::proxy
{

namespace
{

constexpr std::uint64_t object_kind_count = 3;
/// A request with a longer wait is rejected as invalid.
constexpr std::uint64_t max_wait_ms = 30000;
constexpr unsigned status_ok = 200;

/// @return the value of a number in a query; nothing if it is missing or
///     invalid
std::optional<std::uint64_t> query_number(std::string const& target,
                                          std::string_view name)
{
    std::string const key = std::string(name) + '=';
    auto position = target.find('?');
    while (position != std::string::npos)
    {
        ++position;
        if (target.compare(position, key.size(), key) == 0)
        {
            std::uint64_t value = 0;
            auto const* const first = target.data() + position + key.size();
            auto const* const end = target.data() + target.size();
            auto const result = std::from_chars(first, end, value);
            bool const valid = result.ec == std::errc() &&
                               (result.ptr == end || *result.ptr == '&');
            return valid ? std::optional(value) : std::nullopt;
        }
        position = target.find('&', position);
    }
    return std::nullopt;
}

state::duration milliseconds(std::uint64_t value)
{
    return state::duration(static_cast<state::duration::rep>(value));
}

} // namespace

platform::http_request encode(update_request const& message)
{
    auto const number = [](auto value)
    {
        return std::to_string(static_cast<std::uint64_t>(value));
    };
    return {"GET",
            std::string(updates_path) + "?kind=" + number(message.m_kind) +
                "&process=" + number(message.m_cursor.m_process) +
                "&change=" + number(message.m_cursor.m_change) +
                "&wait_ms=" + number(message.m_wait.count()) +
                "&revision=" + number(message.m_known_revision.number()) +
                "&era=" + number(message.m_known_revision.era()) +
                "&references=" + number(message.m_accepts_references),
            {},
            {}};
}

std::optional<update_request> decode_update_request(std::string const& target)
{
    auto const kind = query_number(target, "kind");
    auto const process = query_number(target, "process");
    auto const change = query_number(target, "change");
    auto const wait = query_number(target, "wait_ms");
    if (!kind || *kind >= object_kind_count || !process || !change || !wait ||
        *wait > max_wait_ms)
    {
        return std::nullopt;
    }
    // Instances of earlier releases don't send the others.
    auto const era = query_number(target, "era");
    return update_request{
        static_cast<platform::object_kind>(*kind),
        {*process, *change},
        milliseconds(*wait),
        {query_number(target, "revision").value_or(0), era.value_or(0)},
        query_number(target, "references").value_or(0) != 0,
        era.has_value()};
}

platform::http_response encode(update_response const& message)
{
    v1::News encoded;
    auto const& page = message.m_page;
    encoded.set_whole(page.m_snapshot);
    encoded.set_revision(page.m_revision.number());
    encoded.set_era(page.m_revision.era());
    encoded.set_digest(page.m_digest);
    encoded.mutable_cursor()->set_process(page.m_cursor.m_process);
    encoded.mutable_cursor()->set_change(page.m_cursor.m_change);
    encoded.set_proof_age_ms(
        static_cast<std::uint64_t>(message.m_verified_age.count()));
    encoded.set_heard_age_ms(
        static_cast<std::uint64_t>(message.m_response_age.count()));
    for (auto const& object : page.m_objects)
    {
        auto& added = *encoded.add_objects();
        added.set_name(object.m_name);
        added.set_revision(object.m_revision.number());
        added.set_content(object.m_content);
        added.set_deleted(object.m_deleted);
    }
    for (auto const& reference : page.m_references)
    {
        auto& added = *encoded.add_references();
        added.set_name(reference.m_name);
        added.set_revision(reference.m_revision.number());
    }
    return {status_ok, encoded.SerializeAsString()};
}

std::optional<update_response> decode_update_response(std::string const& body)
{
    v1::News decoded;
    if (!decoded.ParseFromString(body) || decoded.cursor().process() == 0)
    {
        return std::nullopt;
    }
    update_response message;
    message.m_page.m_snapshot = decoded.whole();
    auto const era = decoded.era();
    message.m_page.m_revision = {decoded.revision(), era};
    message.m_page.m_digest = decoded.digest();
    message.m_page.m_cursor = {decoded.cursor().process(),
                               decoded.cursor().change()};
    message.m_verified_age = milliseconds(decoded.proof_age_ms());
    message.m_response_age = milliseconds(decoded.heard_age_ms());
    if (message.m_verified_age.count() < 0 ||
        message.m_response_age.count() < 0)
    {
        return std::nullopt;
    }
    for (auto const& object : decoded.objects())
    {
        message.m_page.m_objects.push_back({object.name(),
                                            {object.revision(), era},
                                            object.content(),
                                            object.deleted()});
    }
    for (auto const& reference : decoded.references())
    {
        message.m_page.m_references.push_back(
            {reference.name(), {reference.revision(), era}});
    }
    return message;
}

} // namespace camphortide::proxy
