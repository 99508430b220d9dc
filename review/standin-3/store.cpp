#include "store.hpp"

namespace review
{

using nlohmann::json;

namespace
{

constexpr std::string_view objects_path = "/camphortide/objects/";
/// How long the store takes for an answer.
constexpr milliseconds answer_time{4};
constexpr int not_found = 404;
constexpr int conflict = 409;

} // namespace

store::store(record& log)
    : m_record(log),
      m_server(
          [this](tcp_stream& stream)
          {
              serve_http(stream, [this](http_request const& request)
                         { return reply(request); });
          })
{
}

void store::change(key const& at, object value)
{
    value.m_revision = ++m_revision;
    value.m_created = value.m_created == 0 ? m_revision : value.m_created;
    m_objects[at] = std::move(value);
    m_changed.notify_all();
}

void store::put(std::string const& kind, std::string const& name,
                json const& spec)
{
    std::scoped_lock const lock(m_mutex);
    auto value = m_objects[{kind, name}];
    if (!value.m_deleted && value.m_spec == spec)
    {
        return;
    }
    value.m_spec = spec;
    value.m_deleted = false;
    change({kind, name}, std::move(value));
}

void store::remove(std::string const& kind, std::string const& name)
{
    std::scoped_lock const lock(m_mutex);
    auto value = m_objects[{kind, name}];
    if (value.m_revision != 0 && !value.m_deleted)
    {
        value.m_deleted = true;
        change({kind, name}, std::move(value));
    }
}

json store::get(std::string const& kind, std::string const& name)
{
    std::scoped_lock const lock(m_mutex);
    auto const found = m_objects.find({kind, name});
    return found == m_objects.end() || found->second.m_deleted
               ? json()
               : found->second.m_spec;
}

json store::text_of(std::string const& name, object const& value)
{
    return {{"meta",
             {{"name", name},
              {"revision", value.m_revision},
              {"created", value.m_created},
              {"finalizers", json::array()},
              {"deleting", false}}},
            {"spec", value.m_spec},
            {"status", value.m_status}};
}

http_response store::reply(http_request const& request)
{
    std::this_thread::sleep_for(answer_time);
    if (!request.m_path.starts_with(objects_path))
    {
        return {not_found, "{}"};
    }
    auto const rest = request.m_path.substr(objects_path.size());
    auto const slash = std::min(rest.find('/'), rest.size());
    auto const kind = rest.substr(0, slash);
    auto const name = slash == rest.size() ? "" : rest.substr(slash + 1);
    if (request.m_method != "GET")
    {
        return write(kind, name, request);
    }
    if (request.m_query.contains("watch"))
    {
        return watch(kind, request);
    }
    if (name.empty())
    {
        return list(kind, request);
    }
    std::scoped_lock const lock(m_mutex);
    auto const found = m_objects.find({kind, name});
    if (found == m_objects.end() || found->second.m_deleted)
    {
        return {not_found, "{}"};
    }
    return {200, text_of(name, found->second).dump()};
}

http_response store::list(std::string const& kind, http_request const& request)
{
    std::scoped_lock const lock(m_mutex);
    auto const after = request.m_query.find("after");
    json items = json::array();
    for (auto const& [at, value] : m_objects)
    {
        bool const listed =
            at.first == kind && !value.m_deleted &&
            (after == request.m_query.end() || at.second > after->second);
        if (listed)
        {
            items.push_back(text_of(at.second, value));
        }
    }
    return {
        200,
        json{{"items", items}, {"hasMore", false}, {"at", m_revision}}.dump()};
}

json store::events(std::string const& kind, std::uint64_t after) const
{
    json result = json::array();
    for (auto const& [at, value] : m_objects)
    {
        if (at.first == kind && value.m_revision > after)
        {
            result.push_back({{"object", text_of(at.second, value)},
                              {"deleted", value.m_deleted}});
        }
    }
    return result;
}

http_response store::watch(std::string const& kind, http_request const& request)
{
    auto const after = std::stoull(request.m_query.at("watch"));
    auto const wait = milliseconds(std::stoll(request.m_query.at("waitMs")));
    std::unique_lock lock(m_mutex);
    json found = json::array();
    m_changed.wait_for(lock, wait,
                       [&]
                       {
                           found = events(kind, after);
                           return !found.empty();
                       });
    return {200, json{{"events", found}, {"at", m_revision}}.dump()};
}

http_response store::write(std::string const& kind, std::string const& name,
                           http_request const& request)
{
    auto const body = json::parse(request.m_body, nullptr, false);
    bool const removes = request.m_method == "DELETE";
    bool const creates = request.m_method == "POST";
    auto const target =
        creates ? body.at("meta").at("name").get<std::string>() : name;
    std::scoped_lock const lock(m_mutex);
    auto value = m_objects[{kind, target}];
    bool const exists = value.m_revision != 0 && !value.m_deleted;
    if (!creates && !exists)
    {
        return {not_found, "{}"};
    }
    std::uint64_t expected = 0;
    if (removes && request.m_query.contains("revision"))
    {
        expected = std::stoull(request.m_query.at("revision"));
    }
    else if (!removes && body.at("meta").contains("revision"))
    {
        expected = body.at("meta").at("revision").get<std::uint64_t>();
    }
    if (creates ? exists : expected != 0 && expected != value.m_revision)
    {
        return {conflict, text_of(target, value).dump()};
    }
    value.m_deleted = removes;
    if (!removes)
    {
        if (!creates && value.m_spec == body.at("spec"))
        {
            return {200, text_of(target, value).dump()};
        }
        value.m_spec = body.at("spec");
    }
    change({kind, target}, value);
    m_record.note("store: " + request.m_method + ' ' + kind + '/' + target +
                  ' ' + value.m_spec.dump());
    return {200, text_of(target, m_objects[{kind, target}]).dump()};
}

} // namespace review
