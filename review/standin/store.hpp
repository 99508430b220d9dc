#pragma once

#include "net.hpp"

#include <condition_variable>
#include <map>

#include <nlohmann/json.hpp>

namespace review
{

/// A call of a duty as the platform received it.
struct duty_call
{
    std::int64_t m_at = 0;
    std::string m_holder;
    std::uint64_t m_token = 0;
    std::string m_service;
    std::string m_member;
    unsigned m_status = 0;
};

/// The platform's store and the receiver of promotions, as published in
/// PROTOCOL.md: objects with revisions, listings, watches, conditional writes.
class store
{
public:
    using promote_function =
        std::function<unsigned(std::string const&, std::string const&)>;

    explicit store(promote_function promote)
        : m_promote(std::move(promote)),
          m_listener([this](auto const& open) { serve(*open); })
    {
    }

    ~store()
    {
        {
            std::scoped_lock const lock(m_mutex);
            m_away = true;
        }
        m_changed.notify_all();
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_listener.port());
    }

    /// Creates or replaces an object, as the operator or a member does.
    /// @param spec its JSON text, which is kept as it is
    void put(std::string const& kind, std::string const& name,
             std::string const& spec)
    {
        std::scoped_lock const lock(m_mutex);
        auto const found = m_state.m_objects.find({kind, name});
        if (found != m_state.m_objects.end() && found->second.m_spec == spec)
        {
            return;
        }
        change(kind, name, spec);
    }

    void remove(std::string const& kind, std::string const& name)
    {
        std::scoped_lock const lock(m_mutex);
        erase(kind, name);
    }

    /// @return the spec of an object; null if there is none
    nlohmann::json read(std::string const& kind, std::string const& name) const
    {
        std::scoped_lock const lock(m_mutex);
        auto const found = m_state.m_objects.find({kind, name});
        return found == m_state.m_objects.end()
                   ? nlohmann::json()
                   : nlohmann::json::parse(found->second.m_spec, nullptr,
                                           false);
    }

    /// @return the store's revision
    std::uint64_t revision() const
    {
        std::scoped_lock const lock(m_mutex);
        return m_state.m_revision;
    }

    std::vector<duty_call> calls() const
    {
        std::scoped_lock const lock(m_mutex);
        return m_calls;
    }

    /// Keeps a copy of the state.
    void copy()
    {
        std::scoped_lock const lock(m_mutex);
        m_copy = m_state;
    }

    /// The store goes away: no call is answered any more.
    void go_away()
    {
        {
            std::scoped_lock const lock(m_mutex);
            m_away = true;
        }
        m_changed.notify_all();
        m_listener.stop();
    }

    /// The store comes back with the state of the copy.
    void come_back_from_copy()
    {
        {
            std::scoped_lock const lock(m_mutex);
            m_state = m_copy;
            ++m_era;
            m_away = false;
        }
        m_listener.start();
    }

private:
    struct object
    {
        std::uint64_t m_revision = 0;
        std::string m_spec;
    };

    struct event
    {
        std::uint64_t m_revision = 0;
        std::string m_kind;
        std::string m_text;
    };

    struct content
    {
        std::uint64_t m_revision = 100;
        std::map<std::pair<std::string, std::string>, object> m_objects;
        std::vector<event> m_history;
    };

    struct request
    {
        std::string m_method;
        std::string m_path;
        std::map<std::string, std::string> m_query;
        std::map<std::string, std::string> m_headers;
        std::string m_body;
    };

    using response = std::pair<unsigned, std::string>;

    static std::string text_of(std::string const& name, object const& value)
    {
        return R"({"meta":{"name":")" + name + R"(","revision":)" +
               std::to_string(value.m_revision) +
               R"(,"created":1,"finalizers":[],"deleting":false},"spec":)" +
               value.m_spec + R"(,"status":null})";
    }

    void add_event(std::string const& kind, std::string const& text,
                   bool deleted)
    {
        m_state.m_history.push_back({m_state.m_revision, kind,
                                     std::string(R"({"deleted":)") +
                                         (deleted ? "true" : "false") +
                                         R"(,"object":)" + text + '}'});
        m_changed.notify_all();
    }

    void change(std::string const& kind, std::string const& name,
                std::string const& spec)
    {
        auto& value = m_state.m_objects[{kind, name}];
        value = {++m_state.m_revision, spec};
        add_event(kind, text_of(name, value), false);
    }

    void erase(std::string const& kind, std::string const& name)
    {
        auto const found = m_state.m_objects.find({kind, name});
        if (found == m_state.m_objects.end())
        {
            return;
        }
        found->second.m_revision = ++m_state.m_revision;
        add_event(kind, text_of(name, found->second), true);
        m_state.m_objects.erase(found);
    }

    static std::optional<request> read_request(connection& open)
    {
        auto line = open.read_line();
        if (!line)
        {
            return std::nullopt;
        }
        request result;
        result.m_method = take_word(*line);
        result.m_path = take_word(*line);
        while ((line = open.read_line()) && !line->empty())
        {
            auto const colon = line->find(": ");
            auto name = line->substr(0, colon);
            for (auto& each : name)
            {
                each = static_cast<char>(std::tolower(each));
            }
            result.m_headers[name] = line->substr(colon + 2);
        }
        auto const length = result.m_headers.find("content-length");
        if (length != result.m_headers.end())
        {
            auto body = open.read_bytes(std::stoul(length->second));
            if (!body)
            {
                return std::nullopt;
            }
            result.m_body = *std::move(body);
        }
        auto const mark = result.m_path.find('?');
        if (mark != std::string::npos)
        {
            auto query = result.m_path.substr(mark + 1) + '&';
            result.m_path.resize(mark);
            while (!query.empty())
            {
                auto const end = query.find('&');
                auto const pair = query.substr(0, end);
                auto const equals = pair.find('=');
                result.m_query[pair.substr(0, equals)] =
                    equals == std::string::npos ? "" : pair.substr(equals + 1);
                query.erase(0, end + 1);
            }
        }
        return line ? std::optional(result) : std::nullopt;
    }

    void serve(connection& open)
    {
        while (auto const message = read_request(open))
        {
            auto const result = respond(*message);
            if (!result)
            {
                return;
            }
            std::string text = "HTTP/1.1 " + std::to_string(result->first) +
                               " -\r\nContent-Type: application/json\r\n"
                               "Store-Era: " +
                               std::to_string(m_era) + "\r\nContent-Length: " +
                               std::to_string(result->second.size()) +
                               "\r\n\r\n" + result->second;
            if (!open.write(text))
            {
                return;
            }
        }
    }

    std::optional<response> respond(request const& message)
    {
        constexpr std::int64_t answer_time = 4;
        sleep_ms(answer_time);
        std::unique_lock lock(m_mutex);
        if (m_away)
        {
            return std::nullopt;
        }
        if (message.m_path == "/promotion")
        {
            return promotion(message, lock);
        }
        std::string const prefix = "/camphortide/objects/";
        if (!message.m_path.starts_with(prefix))
        {
            return response{404, ""};
        }
        auto kind = message.m_path.substr(prefix.size());
        std::string name;
        auto const slash = kind.find('/');
        if (slash != std::string::npos)
        {
            name = kind.substr(slash + 1);
            kind.resize(slash);
        }
        if (message.m_method == "GET")
        {
            return !name.empty() ? read_one(kind, name)
                   : message.m_query.contains("watch")
                       ? watch(kind, message, lock)
                       : list(kind);
        }
        return write(kind, name, message);
    }

    response promotion(request const& message,
                       std::unique_lock<std::mutex>& lock)
    {
        auto const body = nlohmann::json::parse(message.m_body);
        duty_call call;
        call.m_at = now_ms();
        call.m_holder = message.m_headers.at("duty-holder");
        call.m_token = std::stoull(message.m_headers.at("fencing-token"));
        call.m_service = body.at("service");
        call.m_member = body.at("id");
        lock.unlock();
        call.m_status = m_promote(call.m_service, call.m_member);
        lock.lock();
        m_calls.push_back(call);
        return {call.m_status, "{}"};
    }

    response read_one(std::string const& kind, std::string const& name) const
    {
        auto const found = m_state.m_objects.find({kind, name});
        return found == m_state.m_objects.end()
                   ? response{404, ""}
                   : response{200, text_of(name, found->second)};
    }

    response list(std::string const& kind) const
    {
        std::string items;
        for (auto const& [key, value] : m_state.m_objects)
        {
            if (key.first == kind)
            {
                items +=
                    (items.empty() ? "" : ",") + text_of(key.second, value);
            }
        }
        return {200, R"({"items":[)" + items + R"(],"hasMore":false,"at":)" +
                         std::to_string(m_state.m_revision) + '}'};
    }

    std::optional<response> watch(std::string const& kind,
                                  request const& message,
                                  std::unique_lock<std::mutex>& lock)
    {
        auto const from = std::stoull(message.m_query.at("watch"));
        auto const until = std::chrono::steady_clock::now() +
                           ms(std::stoll(message.m_query.at("waitMs")));
        auto const era = m_era.load();
        if (from > m_state.m_revision)
        {
            return response{410, ""};
        }
        while (true)
        {
            if (m_away || m_era != era)
            {
                return std::nullopt;
            }
            std::string events;
            for (auto const& each : m_state.m_history)
            {
                if (each.m_kind == kind && each.m_revision > from)
                {
                    events += (events.empty() ? "" : ",") + each.m_text;
                }
            }
            if (!events.empty() || std::chrono::steady_clock::now() >= until)
            {
                return response{200, R"({"events":[)" + events + R"(],"at":)" +
                                         std::to_string(m_state.m_revision) +
                                         '}'};
            }
            m_changed.wait_until(lock, until);
        }
    }

    response write(std::string const& kind, std::string name,
                   request const& message)
    {
        std::optional<std::uint64_t> required;
        std::string spec;
        if (message.m_method == "DELETE")
        {
            if (message.m_query.contains("revision"))
            {
                required = std::stoull(message.m_query.at("revision"));
            }
        }
        else
        {
            auto const body = nlohmann::json::parse(message.m_body);
            auto const& meta = body.at("meta");
            name = meta.at("name");
            spec = body.at("spec").dump();
            if (meta.contains("revision"))
            {
                required = meta.at("revision").get<std::uint64_t>();
            }
        }
        auto const found = m_state.m_objects.find({kind, name});
        bool const exists = found != m_state.m_objects.end();
        if (message.m_method == "POST"
                ? exists
                : exists && required && found->second.m_revision != *required)
        {
            return {409, text_of(name, found->second)};
        }
        if (message.m_method != "POST" && !exists)
        {
            return {404, ""};
        }
        if (message.m_method == "DELETE")
        {
            auto const text = text_of(name, found->second);
            erase(kind, name);
            return {200, text};
        }
        if (!exists || found->second.m_spec != spec)
        {
            change(kind, name, spec);
        }
        return {200, text_of(name, m_state.m_objects.at({kind, name}))};
    }

    promote_function m_promote;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    content m_state;
    content m_copy;
    std::atomic<std::uint64_t> m_era = 1;
    bool m_away = false;
    std::vector<duty_call> m_calls;
    listener m_listener; ///< last: its threads use the others
};

} // namespace review
