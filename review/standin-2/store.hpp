#pragma once

#include "http.hpp"

#include <condition_variable>
#include <deque>
#include <mutex>

#include <nlohmann/json.hpp>

namespace review
{

using nlohmann::json;

/// The platform's store: objects by kind and name, with listings, watches and
/// conditional writes. It keeps all of its history.
class object_store
{
public:
    object_store()
        : m_server([this](http_message const& request)
                   { return respond(request); })
    {
    }

    std::uint16_t port() const { return m_server.port(); }

    /// Writes an object without a condition.
    void put(std::string const& kind, std::string const& name, json const& spec)
    {
        std::scoped_lock const lock(m_mutex);
        change(kind, name, spec, false);
    }

    void remove(std::string const& kind, std::string const& name)
    {
        std::scoped_lock const lock(m_mutex);
        change(kind, name, nullptr, true);
    }

    /// While the store isn't available it answers every call with 503.
    void set_available(bool available)
    {
        std::scoped_lock const lock(m_mutex);
        m_available = available;
        m_changed.notify_all();
    }

    /// @return the spec of an object; null if there is none
    json get(std::string const& kind, std::string const& name)
    {
        std::scoped_lock const lock(m_mutex);
        auto const found = m_objects.find({kind, name});
        return found == m_objects.end() ? json() : found->second.at("spec");
    }

private:
    struct event
    {
        std::uint64_t m_revision;
        std::string m_kind;
        json m_object;
        bool m_deleted;
    };

    struct target
    {
        std::string m_kind;
        std::string m_name;
        std::map<std::string, std::string> m_query;
    };

    static std::string decode(std::string const& text)
    {
        std::string result;
        for (std::size_t i = 0; i < text.size(); ++i)
        {
            if (text[i] == '%' && i + 2 < text.size())
            {
                result += static_cast<char>(
                    std::stoi(text.substr(i + 1, 2), nullptr, 16));
                i += 2;
            }
            else
            {
                result += text[i];
            }
        }
        return result;
    }

    static target parse(std::string path)
    {
        target result;
        auto const mark = path.find('?');
        auto query = mark == std::string::npos ? "" : path.substr(mark + 1);
        path.resize(std::min(mark, path.size()));
        while (!query.empty())
        {
            auto const end = std::min(query.find('&'), query.size());
            auto const pair = query.substr(0, end);
            auto const equals = std::min(pair.find('='), pair.size() - 1);
            result.m_query[pair.substr(0, equals)] =
                decode(pair.substr(equals + 1));
            query.erase(0, end + 1);
        }
        path.erase(0, std::string("/camphortide/objects/").size());
        auto const slash = path.find('/');
        result.m_kind = path.substr(0, slash);
        result.m_name =
            slash == std::string::npos ? "" : decode(path.substr(slash + 1));
        return result;
    }

    /// @return the object after the change
    json change(std::string const& kind, std::string const& name,
                json const& spec, bool removes)
    {
        auto const found = m_objects.find({kind, name});
        bool const exists = found != m_objects.end();
        if (exists && !removes && found->second.at("spec") == spec)
        {
            return found->second; // no new revision and no event
        }
        json object{{"meta",
                     {{"name", name},
                      {"revision", ++m_revision},
                      {"created", exists ? found->second["meta"]["created"]
                                         : json(m_revision)},
                      {"finalizers", json::array()},
                      {"deleting", false}}},
                    {"spec", removes ? found->second.at("spec") : spec},
                    {"status", nullptr}};
        if (removes)
        {
            m_objects.erase(found);
        }
        else
        {
            m_objects[{kind, name}] = object;
        }
        m_events.push_back({m_revision, kind, object, removes});
        m_changed.notify_all();
        return object;
    }

    http_answer respond(http_message const& request)
    {
        pause_for(4); // the store's usual time for an answer
        auto const path = parse(request.m_target);
        if (path.m_query.contains("watch"))
        {
            return watch(path);
        }
        std::scoped_lock const lock(m_mutex);
        if (!m_available)
        {
            return {503, "{}"};
        }
        if (request.m_method != "GET")
        {
            return write(request, path);
        }
        if (!path.m_name.empty())
        {
            auto const found = m_objects.find({path.m_kind, path.m_name});
            return found == m_objects.end()
                       ? http_answer{404, "{}"}
                       : http_answer{200, found->second.dump()};
        }
        json items = json::array();
        for (auto const& [key, object] : m_objects)
        {
            if (key.first == path.m_kind)
            {
                items.push_back(object);
            }
        }
        return {200,
                json{{"items", items}, {"hasMore", false}, {"at", m_revision}}
                    .dump()};
    }

    http_answer watch(target const& path)
    {
        auto const after = std::stoull(path.m_query.at("watch"));
        auto const until = clock_type::now() +
                           milliseconds(std::stoi(path.m_query.at("waitMs")));
        std::unique_lock lock(m_mutex);
        while (true)
        {
            if (!m_available)
            {
                return {503, "{}"};
            }
            json events = json::array();
            for (auto const& each : m_events)
            {
                if (each.m_kind == path.m_kind && each.m_revision > after)
                {
                    events.push_back({{"object", each.m_object},
                                      {"deleted", each.m_deleted}});
                }
            }
            if (!events.empty() ||
                m_changed.wait_until(lock, until) == std::cv_status::timeout)
            {
                return {200,
                        json{{"events", events}, {"at", m_revision}}.dump()};
            }
        }
    }

    http_answer write(http_message const& request, target const& path)
    {
        bool const removes = request.m_method == "DELETE";
        auto const body = removes ? json() : json::parse(request.m_body);
        auto const name = path.m_name.empty()
                              ? body.at("meta").at("name").get<std::string>()
                              : path.m_name;
        auto const found = m_objects.find({path.m_kind, name});
        if (request.m_method == "POST" && found != m_objects.end())
        {
            return {409, found->second.dump()};
        }
        if (request.m_method != "POST" && found == m_objects.end())
        {
            return {404, "{}"};
        }
        std::optional<std::uint64_t> expected;
        if (removes && path.m_query.contains("revision"))
        {
            expected = std::stoull(path.m_query.at("revision"));
        }
        else if (!removes && body.at("meta").contains("revision"))
        {
            expected = body.at("meta").at("revision").get<std::uint64_t>();
        }
        if (expected && found != m_objects.end() &&
            found->second["meta"]["revision"] != *expected)
        {
            return {409, found->second.dump()};
        }
        auto const object = change(path.m_kind, name,
                                   removes ? json() : body.at("spec"), removes);
        return {200, object.dump()};
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_available = true;
    std::map<std::pair<std::string, std::string>, json> m_objects;
    std::deque<event> m_events;
    std::uint64_t m_revision = 1;
    http_server m_server;
};

} // namespace review
