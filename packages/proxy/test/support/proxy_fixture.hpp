#pragma once

#include "text_client.hpp"

#include <chrono>
#include <functional>
#include <memory>
#include <set>
#include <stdexcept>
#include <string>
#include <thread>

#include <nlohmann/json.hpp>
#include <unistd.h>

#include <camphortide/proxy/proxy_instance.hpp>
#include <camphortide/standin/text/text_platform.hpp>

namespace tests
{

namespace proxy = camphortide::proxy;
namespace standin = camphortide::standin;

/// Waits until a condition holds, for at most 40 s: slow hosts need long.
/// @return true if it holds
inline bool wait_for(std::function<bool()> const& condition)
{
    auto const end =
        std::chrono::steady_clock::now() + std::chrono::seconds(40);
    bool met = condition();
    while (!met && std::chrono::steady_clock::now() < end)
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
        met = condition();
    }
    return met;
}

/// One running instance, on a loopback address of its own.
class running_instance
{
public:
    using settings_change =
        std::function<void(camphortide::platform::process_settings&)>;

    /// @param promotion HOST:PORT of the promotion service; empty: the store's
    /// @param change further settings
    running_instance(std::string const& store, int number,
                     std::string const& promotion = {},
                     settings_change const& change = nullptr)
        : m_host("127." + std::to_string(64 + number) + '.' +
                 std::to_string(::getpid() >> 8 & 255) + '.' +
                 std::to_string(::getpid() & 255))
    {
        camphortide::platform::process_settings settings;
        settings.m_name = "edge-" + std::to_string(number);
        settings.m_ip = m_host;
        settings.m_data_centre = "dc";
        settings.m_listen_callers = m_host + ":7001";
        settings.m_listen_readiness = m_host + ":7002";
        settings.m_listen_peers = m_host + ":7003";
        settings.m_listen_forwarded = m_host + ":7004";
        settings.m_store_address = store;
        settings.m_promotion_address = promotion.empty() ? store : promotion;
        settings.m_stop_grace = camphortide::state::duration(3000);
        if (change)
        {
            change(settings);
        }
        m_instance = std::make_unique<proxy::proxy_instance>(settings, "");
        m_thread = std::thread([this] { m_served = m_instance->run(); });
    }

    ~running_instance()
    {
        m_instance->request_stop();
        m_thread.join();
    }

    text_client connect(std::string const& database = "loans",
                        std::string const& key = "test")
    {
        return {m_host, 7001, database, key};
    }

    std::string const& host() const { return m_host; }

    /// Opens a session that can be stored in a container.
    std::unique_ptr<text_client> open()
    {
        return std::make_unique<text_client>(m_host, 7001, "loans");
    }

    /// Waits until the instance serves writes.
    /// @return true if it does
    bool wait_writes()
    {
        return wait_for(
            [this]
            {
                try
                {
                    return connect().outcome("STORE ready yes") == "COMPLETE";
                }
                catch (boost::system::system_error const&)
                {
                    return false; // not listening yet
                }
            });
    }

private:
    std::string m_host;
    std::unique_ptr<proxy::proxy_instance> m_instance;
    std::thread m_thread;
    bool m_served = false;
};

/// A platform with one group of three members and one database.
struct deployment
{
    deployment()
    {
        m_platform.add_group(m_group);
        m_platform.register_members(m_group);
        configure(1, "read_your_writes");
    }

    void configure(int version, std::string const& consistency,
                   std::string const& database = "loans")
    {
        configure(version, consistency, database, 16);
    }

    /// Limits the connections that each member accepts.
    /// @param version of the configuration
    /// @param connections accepted by each member
    void configure_connections(int version, int connections)
    {
        for (auto const& member : m_group.members())
        {
            m_group.change(member,
                           [&](standin::text_member_state& state) {
                               state.m_max_connections =
                                   static_cast<std::size_t>(connections);
                           });
        }
        configure(version, "read_your_writes", "loans", connections);
    }

    /// Names the customers.
    /// @param version of the configuration
    /// @param customers JSON objects, separated by commas
    /// @param anonymous callers need no key
    void configure_customers(int version, std::string const& customers,
                             bool anonymous = false)
    {
        configure(version, "read_your_writes", "loans", 16,
                  R"(,"tenants":[)" + customers + ']', anonymous);
    }

    /// @param more further fields of the configuration, after a comma
    void configure(int version, std::string const& consistency,
                   std::string const& database, int connections,
                   std::string const& more = {}, bool anonymous = false)
    {
        m_platform.put(
            "config", "main",
            R"({"version":)" + std::to_string(version) +
                R"(,"routes":[{"name":"r1","host":")" + database +
                R"(","routeType":")" + consistency +
                R"(","timeoutMs":800,"targetLatencyMs":400,"priority":1,)"
                R"("service":"g","maxStalenessMs":2500,"anonymous":)" +
                (anonymous ? "true" : "false") +
                R"(}],)"
                R"("services":[{"name":"g","maxConnections":)" +
                std::to_string(connections) +
                R"(,)"
                R"("syncReplicas":)" +
                std::to_string(m_sync_replicas) +
                R"(}],"limits":{"txIdleMs":3000})" + more + '}');
    }

    /// @return the number of the instance that holds the duty; 0: nobody
    int duty_holder() const
    {
        auto const text = m_platform.get("camphortide", "duty");
        auto const name =
            text.empty()
                ? std::string()
                : nlohmann::json::parse(text).at("holder").get<std::string>();
        return name.empty() ? 0 : std::stoi(name.substr(name.find('-') + 1));
    }

    /// @return the items in the log of the primary
    std::set<std::string> items_of_primary() const
    {
        std::set<std::string> items;
        for (auto const& commit : m_group.state(m_group.primary()).m_log)
        {
            for (auto const& change : commit.m_changes)
            {
                items.insert(change.first);
            }
        }
        return items;
    }

    /// Lets the primary leave.
    void drain_primary()
    {
        auto const primary = m_group.primary();
        auto entry = m_platform.get("servers", primary);
        entry.replace(entry.find("in_service"), 10, "draining");
        m_platform.put("servers", primary, entry);
    }

    /// Lets the primary leave, and waits for the next one.
    void replace_primary()
    {
        auto const former = m_group.primary();
        drain_primary();
        if (!wait_for([&] { return m_group.primary() != former; }))
        {
            throw std::runtime_error("the primary was not replaced");
        }
    }

    /// In the configuration; the members don't wait for replicas.
    int m_sync_replicas = 0;
    standin::text_platform m_platform;
    standin::text_group m_group{"g", {"m1", "m2", "m3"}};
};

} // namespace tests
