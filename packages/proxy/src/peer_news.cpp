#include <charconv>

#include <camphortide/proxy/peer_news.hpp>
#include <camphortide/proxy/v1/news.pb.h>

namespace camphortide::proxy
{

namespace
{

constexpr std::uint64_t kinds = 3;
/// A longer wait is held to be a fault of whoever asks.
constexpr std::uint64_t longest_wait_ms = 30000;
constexpr unsigned status_ok = 200;

/// @return the value of a number in a query; nothing if it isn't there
std::optional<std::uint64_t> number_in(std::string const& target,
                                       std::string_view name)
{
    std::string const key = std::string(name) + '=';
    auto place = target.find('?');
    while (place != std::string::npos)
    {
        ++place;
        if (target.compare(place, key.size(), key) == 0)
        {
            std::uint64_t value = 0;
            auto const* const first = target.data() + place + key.size();
            auto const* const end = target.data() + target.size();
            auto const result = std::from_chars(first, end, value);
            bool const whole = result.ec == std::errc() &&
                               (result.ptr == end || *result.ptr == '&');
            return whole ? std::optional(value) : std::nullopt;
        }
        place = target.find('&', place);
    }
    return std::nullopt;
}

state::duration milliseconds(std::uint64_t value)
{
    return state::duration(static_cast<state::duration::rep>(value));
}

} // namespace

platform::http_request encode(news_request const& message)
{
    auto const number = [](auto value)
    {
        return std::to_string(static_cast<std::uint64_t>(value));
    };
    return {"GET",
            std::string(news_path) + "?kind=" + number(message.m_kind) +
                "&process=" + number(message.m_cursor.m_process) +
                "&change=" + number(message.m_cursor.m_change) +
                "&wait_ms=" + number(message.m_wait.count()),
            {},
            {}};
}

std::optional<news_request> decode_news_request(std::string const& target)
{
    auto const kind = number_in(target, "kind");
    auto const process = number_in(target, "process");
    auto const change = number_in(target, "change");
    auto const wait = number_in(target, "wait_ms");
    if (!kind || *kind >= kinds || !process || !change || !wait ||
        *wait > longest_wait_ms)
    {
        return std::nullopt;
    }
    return news_request{static_cast<platform::object_kind>(*kind),
                        {*process, *change},
                        milliseconds(*wait)};
}

platform::http_response encode(news_response const& message)
{
    v1::News news;
    auto const& page = message.m_page;
    news.set_whole(page.m_whole);
    news.set_revision(page.m_revision);
    news.mutable_cursor()->set_process(page.m_cursor.m_process);
    news.mutable_cursor()->set_change(page.m_cursor.m_change);
    news.set_proof_age_ms(
        static_cast<std::uint64_t>(message.m_proof_age.count()));
    news.set_heard_age_ms(
        static_cast<std::uint64_t>(message.m_heard_age.count()));
    for (auto const& object : page.m_objects)
    {
        auto& to = *news.add_objects();
        to.set_name(object.m_name);
        to.set_revision(object.m_revision);
        to.set_content(object.m_content);
        to.set_deleted(object.m_deleted);
    }
    return {status_ok, news.SerializeAsString()};
}

std::optional<news_response> decode_news_response(std::string const& body)
{
    v1::News news;
    if (!news.ParseFromString(body) || news.cursor().process() == 0)
    {
        return std::nullopt;
    }
    news_response message;
    message.m_page.m_whole = news.whole();
    message.m_page.m_revision = news.revision();
    message.m_page.m_cursor = {news.cursor().process(), news.cursor().change()};
    message.m_proof_age = milliseconds(news.proof_age_ms());
    message.m_heard_age = milliseconds(news.heard_age_ms());
    if (message.m_proof_age.count() < 0 || message.m_heard_age.count() < 0)
    {
        return std::nullopt;
    }
    for (auto const& object : news.objects())
    {
        message.m_page.m_objects.push_back({object.name(), object.revision(),
                                            object.content(),
                                            object.deleted()});
    }
    return message;
}

} // namespace camphortide::proxy
