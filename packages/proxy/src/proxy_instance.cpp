#include "instance_gauges.hpp"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <fstream>
#include <sstream>
#include <thread>
#include <utility>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <sys/stat.h>

#include <camphortide/platform/promotion_protocol.hpp>
#include <camphortide/proxy/proxy_instance.hpp>
#include <camphortide/transport/logging/log.hpp>
#include <camphortide/transport/metrics/metrics_text.hpp>

namespace camphortide::proxy
{

namespace asio = boost::asio;
using boost::system::error_code;
using transport::log_part;

namespace
{

/// Interval between the ticks of the control thread. The shortest interval it
/// has to keep is the one between two report requests to a member during a
/// replacement.
constexpr state::duration tick_interval{40};
/// Interval between the checks of the settings file, which may change without a
/// signal.
constexpr state::duration file_check_interval{2000};
/// Part of the grace period that is kept for the steps after the sessions have
/// ended.
constexpr state::duration shutdown_reserve{1200};
/// How long the process waits for its last writes to the store before it exits.
constexpr state::duration deregister_timeout{500};

constexpr char const* metrics_path = "/metrics";
constexpr unsigned status_ok = 200;
constexpr unsigned status_bad_request = 400;
constexpr unsigned status_unavailable = 503;

std::int64_t unix_milliseconds()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

std::int64_t modification_time(std::string const& path)
{
    struct stat state
    {
    };
    if (::stat(path.c_str(), &state) != 0)
    {
        return 0;
    }
    return state.st_mtim.tv_sec * 1000 + state.st_mtim.tv_nsec / 1000000;
}

} // namespace

std::optional<platform::process_settings> read_settings(std::string const& path,
                                                        std::string& error)
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    if (!file)
    {
        error = path + ": can't be read";
        return std::nullopt;
    }
    platform::settings_error invalid;
    auto settings = platform::parse_process_settings(text.str(), invalid);
    if (!settings)
    {
        error =
            path + ": " + invalid.m_key + ": expected " + invalid.m_expected;
    }
    return settings;
}

proxy_instance::proxy_instance(platform::process_settings settings,
                               std::string path)
    : m_settings(std::move(settings)),
      m_path(std::move(path)),
      m_log(m_metrics),
      m_store(m_control, m_settings.m_store_address),
      m_fleet(m_control, m_store, m_settings, unix_milliseconds()),
      m_replacements(
          m_control, m_store, m_fleet, m_settings,
          [this](close_request const& request, std::function<void()> closed)
          { close_primary(request, std::move(closed)); }),
      m_server(m_control),
      m_traffic(m_traffic_context, *this,
                {m_settings.m_max_unread_bytes, m_settings.m_max_unread_time}),
      m_tick(m_control),
      m_signals(m_control, SIGTERM, SIGINT, SIGHUP),
      m_file_modified(modification_time(m_path))
{
}

proxy_instance::~proxy_instance() = default;

bool proxy_instance::run()
{
    std::signal(SIGPIPE, SIG_IGN);
    register_handlers();
    if (!m_server.listen(m_settings.m_listen_readiness) ||
        !m_server.listen(m_settings.m_listen_peers) ||
        !m_traffic.listen_forwarded(m_settings.m_listen_forwarded) ||
        !m_traffic.listen(m_settings.m_listen_callers))
    {
        transport::log_error(log_part::main, "cannot listen on an address",
                             {{"callers", m_settings.m_listen_callers},
                              {"readiness", m_settings.m_listen_readiness},
                              {"peers", m_settings.m_listen_peers},
                              {"forwarded", m_settings.m_listen_forwarded}});
        return false;
    }
    transport::log_info(log_part::main, "started",
                        {{"instance", m_settings.m_name},
                         {"data_centre", m_settings.m_data_centre},
                         {"born", m_fleet.start_time()},
                         {"peers", m_settings.m_listen_peers},
                         {"first", m_settings.m_first_start}});
    m_fleet.start([this](std::shared_ptr<fleet_view const> view)
                  { apply_view(std::move(view)); },
                  [this] { m_replacements.records_changed(); });
    wait_for_signal();
    tick();
    auto const work_guard = asio::make_work_guard(m_traffic_context);
    std::thread traffic_thread([this] { m_traffic_context.run(); });
    m_control.run();
    m_traffic_context.stop();
    traffic_thread.join();
    transport::log_info(log_part::main, "stopped",
                        {{"instance", m_settings.m_name}});
    return true;
}

void proxy_instance::register_handlers()
{
    m_server.set_handler(platform::readiness_path,
                         [this](platform::http_request const&,
                                http_server::responder const& respond)
                         { handle_readiness(respond); });
    m_server.set_handler(metrics_path,
                         [this](platform::http_request const&,
                                http_server::responder const& respond)
                         { handle_metrics(respond); });
    m_server.set_handler(close_path,
                         [this](platform::http_request const& request,
                                http_server::responder const& respond)
                         { handle_close_request(request, respond); });
    m_server.set_handler(ping_path,
                         [this](platform::http_request const&,
                                http_server::responder const& respond) {
                             respond(encode(close_response{
                                 m_fleet.name(), m_fleet.start_time(), 0}));
                         });
    m_server.set_handler(updates_path,
                         [this](platform::http_request const& request,
                                http_server::responder const& respond)
                         { handle_update_request(request, respond); });
    m_server.set_handler(
        unreachable_path,
        [this](platform::http_request const& request,
               http_server::responder const& respond)
        {
            auto const report = decode_unreachable_report(request.m_body);
            if (report)
            {
                m_replacements.note_report(*report);
            }
            respond({report ? status_ok : status_bad_request, {}});
        });
}

void proxy_instance::handle_readiness(http_server::responder const& respond)
{
    bool const ready = m_has_view && !m_stopping;
    respond({ready ? status_ok : status_unavailable, {}});
}

void proxy_instance::handle_update_request(
    platform::http_request const& request,
    http_server::responder const& respond)
{
    auto const message = decode_update_request(request.m_target);
    if (!message)
    {
        respond({status_bad_request, {}});
        return;
    }
    m_fleet.serve(*message, respond);
}

void proxy_instance::handle_close_request(platform::http_request const& request,
                                          http_server::responder const& respond)
{
    auto const message = decode_close_request(request.m_body);
    if (!message)
    {
        respond({status_bad_request, {}});
        return;
    }
    m_fleet.note_close_request(message->m_group, message->m_revision);
    close_primary(
        *message,
        [this, message = *message, respond]
        {
            respond(encode(close_response{m_fleet.name(), m_fleet.start_time(),
                                          message.m_revision}));
        });
}

void proxy_instance::handle_metrics(http_server::responder const& respond)
{
    // The gauges are read on the traffic thread, which also formats the page.
    asio::post(m_traffic_context,
               [this, respond, updates = update_gauges(m_fleet),
                requests = m_store.requests(), failures = m_store.failures(),
                replacements = replacement_gauges(m_replacements)]
               {
                   auto gauges = traffic_gauges(m_traffic);
                   gauges.insert(gauges.end(), updates.begin(), updates.end());
                   gauges.push_back({"store_calls",
                                     "calls to the store since the start",
                                     {},
                                     static_cast<double>(requests)});
                   gauges.push_back({"store_failures",
                                     "calls to the store that failed",
                                     {},
                                     static_cast<double>(failures)});
                   gauges.insert(gauges.end(), replacements.begin(),
                                 replacements.end());
                   auto page =
                       transport::metrics_text(m_metrics.snapshot(), gauges);
                   asio::post(m_control,
                              [respond, page = std::move(page)] {
                                  respond({status_ok, page});
                              });
               });
}

void proxy_instance::close_primary(close_request const& request,
                                   std::function<void()> closed)
{
    transport::log_info(log_part::group, "requested to stop using a primary",
                        {{"group", request.m_group},
                         {"revision", to_string(request.m_revision)},
                         {"orderly", request.m_orderly}});
    asio::post(m_traffic_context,
               [this, request, closed = std::move(closed)]
               {
                   m_traffic.close_primary(
                       request.m_group, request.m_revision, request.m_orderly,
                       [this, closed] { asio::post(m_control, closed); });
               });
}

void proxy_instance::apply_view(std::shared_ptr<fleet_view const> view)
{
    if (!std::exchange(m_has_view, true))
    {
        transport::log_info(
            log_part::main, "ready",
            {{"configuration", view->m_configuration->m_version}});
    }
    asio::post(m_traffic_context,
               [this, view = std::move(view)] { m_traffic.apply(view); });
}

void proxy_instance::tick()
{
    auto const now = state::clock::now();
    m_fleet.tick(now);
    m_replacements.tick(now);
    limit_keys();
    reload_if_changed(now);
    m_tick.expires_after(tick_interval);
    m_tick.async_wait(
        [this](error_code error)
        {
            if (!error)
            {
                tick();
            }
        });
}

void proxy_instance::limit_keys()
{
    if (!m_settings.m_revocation_fails_closed)
    {
        return;
    }
    asio::post(m_traffic_context,
               [this, until = m_fleet.configuration_verified_at() +
                              m_settings.m_revocation_bound]
               { m_traffic.set_keys_valid_until(until); });
}

void proxy_instance::wait_for_signal()
{
    m_signals.async_wait(
        [this](error_code error, int signal)
        {
            if (error)
            {
                return;
            }
            if (signal == SIGHUP)
            {
                reload();
            }
            else
            {
                stop();
            }
            wait_for_signal();
        });
}

void proxy_instance::reload_if_changed(state::time_point now)
{
    if (now - m_last_file_check < file_check_interval)
    {
        return;
    }
    m_last_file_check = now;
    if (modification_time(m_path) != m_file_modified)
    {
        reload();
    }
}

void proxy_instance::reload()
{
    m_file_modified = modification_time(m_path);
    std::string error;
    auto const settings = read_settings(m_path, error);
    if (!settings)
    {
        transport::log_error(log_part::settings, "invalid settings ignored",
                             {{"cause", error}});
        return;
    }
    transport::log_info(log_part::settings, "settings reloaded",
                        {{"changed", *settings != m_settings}});
    m_store.set_address(settings->m_store_address);
    m_replacements.set_promotion_address(settings->m_promotion_address);
    m_settings.m_stop_grace = settings->m_stop_grace;
}

void proxy_instance::request_stop()
{
    asio::post(m_control, [this] { stop(); });
}

void proxy_instance::stop()
{
    if (std::exchange(m_stopping, true))
    {
        return;
    }
    transport::log_info(log_part::main, "stopping",
                        {{"grace", m_settings.m_stop_grace}});
    m_replacements.release_duty(
        [this]
        {
            m_duty_released = true;
            deregister_if_done();
        });
    stop_times times;
    times.m_transactions = m_settings.m_stop_grace / 2;
    times.m_end = m_settings.m_stop_grace - shutdown_reserve;
    times.m_accept = std::min(times.m_accept, times.m_end / 2);
    asio::post(m_traffic_context,
               [this, times]
               {
                   m_traffic.stop(times,
                                  [this]
                                  {
                                      asio::post(m_control,
                                                 [this]
                                                 {
                                                     m_traffic_ended = true;
                                                     deregister_if_done();
                                                 });
                                  });
               });
}

void proxy_instance::deregister_if_done()
{
    if (!m_duty_released || !m_traffic_ended)
    {
        return;
    }
    auto const timer = std::make_shared<asio::steady_timer>(m_control);
    timer->expires_after(deregister_timeout);
    timer->async_wait([this, timer](error_code) { m_control.stop(); });
    m_fleet.deregister([this] { m_control.stop(); });
}

void proxy_instance::statement_ended(statement_end const& end)
{
    m_log.ended(end);
}

void proxy_instance::statement_sent_again(std::string const& group,
                                          statement_request const& request,
                                          std::string const& cause)
{
    m_log.sent_again(group, request, cause);
}

void proxy_instance::refused_locally(std::string const& id,
                                     std::string const& database,
                                     state::statement_failure const& why)
{
    transport::log_decision(log_part::callers, "refused without a member",
                            {{"id", id},
                             {"database", database},
                             {"outcome", state::to_string(why.m_error)},
                             {"cause", why.m_text}});
}

void proxy_instance::member_reached(std::string const& group,
                                    std::string const& member, bool reached)
{
    transport::log_info(log_part::group,
                        reached ? "member reachable again"
                                : "member unreachable",
                        {{"group", group}, {"member", member}});
}

void proxy_instance::connections_exhausted(member_gauge const& member,
                                           bool exhausted)
{
    transport::log_warning(log_part::group,
                           exhausted
                               ? "connections to a member exhausted"
                               : "connections to a member available again",
                           {{"group", member.m_group},
                            {"member", member.m_member},
                            {"in_use", member.m_connections_in_use},
                            {"longest_use_ms", member.m_longest_use.count()},
                            {"overdue", member.m_overdue}});
}

void proxy_instance::primary_unreachable(std::string const& group,
                                         std::string const& member)
{
    asio::post(m_control, [this, group, member]
               { m_replacements.send_report(group, member); });
}

void proxy_instance::primary_closed(std::string const& group,
                                    state::store_revision const& revision)
{
    transport::log_info(log_part::group, "primary closed",
                        {{"group", group}, {"revision", to_string(revision)}});
    asio::post(m_control, [this, group, revision]
               { m_fleet.acknowledge_closing(group, revision); });
}

} // namespace camphortide::proxy
