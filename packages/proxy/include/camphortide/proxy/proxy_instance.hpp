#pragma once

#include <atomic>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <camphortide/platform/process_settings.hpp>
#include <camphortide/proxy/fleet_control.hpp>
#include <camphortide/proxy/http_server.hpp>
#include <camphortide/proxy/replacement_control.hpp>
#include <camphortide/proxy/request_log.hpp>
#include <camphortide/proxy/traffic.hpp>
#include <camphortide/transport/metrics/metrics_registry.hpp>

namespace camphortide::proxy
{

/// One instance on the platform, with a control thread and a traffic thread.
/// The threads share no mutable state but post values and tasks to each other.
class proxy_instance final : private traffic_observer
{
public:
    /// @param settings settings of this process
    /// @param path path of the file that the settings were read from
    proxy_instance(platform::process_settings settings, std::string path);
    ~proxy_instance() override;

    /// Runs until a signal or request_stop() ends it.
    /// @return false if an address can't be bound
    bool run();

    /// Requests a running instance to stop. May be called on any thread.
    void request_stop();

private:
    void statement_ended(statement_end const& end) override;
    void statement_sent_again(std::string const& group,
                              statement_request const& request,
                              std::string const& cause) override;
    void refused_locally(std::string const& id, std::string const& database,
                         state::statement_failure const& why) override;
    void member_reached(std::string const& group, std::string const& member,
                        bool reached) override;
    void connections_exhausted(member_gauge const& member,
                               bool exhausted) override;
    void primary_unreachable(std::string const& group,
                             std::string const& member) override;
    void primary_closed(std::string const& group,
                        state::store_revision const& revision) override;

    void register_handlers();
    void handle_readiness(http_server::responder const& respond);
    void handle_update_request(platform::http_request const& request,
                               http_server::responder const& respond);
    void handle_close_request(platform::http_request const& request,
                              http_server::responder const& respond);
    void handle_metrics(http_server::responder const& respond);
    void close_primary(close_request const& request,
                       std::function<void()> closed);
    void apply_view(std::shared_ptr<fleet_view const> view);
    void tick();
    void limit_keys();
    void wait_for_signal();
    void reload();
    void reload_if_changed(state::time_point now);
    void stop();
    /// Removes this instance from the store and ends the process, once nothing
    /// else is left to do.
    void deregister_if_done();

    platform::process_settings m_settings;
    std::string m_path;
    boost::asio::io_context m_control;
    boost::asio::io_context m_traffic_context;
    transport::metrics_registry m_metrics;
    request_log m_log;
    store_client m_store;
    fleet_control m_fleet;
    replacement_control m_replacements;
    http_server m_server;
    traffic m_traffic;
    boost::asio::steady_timer m_tick;
    boost::asio::signal_set m_signals;
    bool m_has_view = false;
    bool m_stopping = false;
    bool m_duty_released = false;
    bool m_traffic_ended = false;
    std::int64_t m_file_modified = 0;
    state::time_point m_last_file_check;
};

/// Reads and checks the settings that the platform gives this process.
/// @param path path of the settings file
/// @param error set if nothing is returned
/// @return the settings; nothing if the file can't be read or is invalid
std::optional<platform::process_settings> read_settings(std::string const& path,
                                                        std::string& error);

} // namespace camphortide::proxy
