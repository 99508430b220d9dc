#pragma once

#include "net.hpp"
#include "record.hpp"

#include <condition_variable>
#include <cstdint>

#include <nlohmann/json.hpp>

namespace review
{

/// The platform's metadata store, and the call that promotes a member.
class store
{
public:
    explicit store(record& log);

    unsigned short port() const { return m_server.port(); }
    void start() { m_server.start(); }

    /// Writes an object as the operator or a member does.
    void put(std::string const& kind, std::string const& name,
             nlohmann::json const& spec);
    void remove(std::string const& kind, std::string const& name);
    /// @return the object's spec; null if there is none
    nlohmann::json get(std::string const& kind, std::string const& name);

private:
    struct object
    {
        nlohmann::json m_spec;
        nlohmann::json m_status;
        std::uint64_t m_revision = 0;
        std::uint64_t m_created = 0;
        bool m_deleted = false;
    };
    using key = std::pair<std::string, std::string>;

    http_response reply(http_request const& request);
    http_response list(std::string const& kind, http_request const& request);
    http_response watch(std::string const& kind, http_request const& request);
    http_response write(std::string const& kind, std::string const& name,
                        http_request const& request);
    nlohmann::json events(std::string const& kind, std::uint64_t after) const;
    static nlohmann::json text_of(std::string const& name, object const& value);
    void change(key const& at, object value);

    record& m_record;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::uint64_t m_revision = 100;
    std::map<key, object> m_objects;
    tcp_server m_server;
};

} // namespace review
