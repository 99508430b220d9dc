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

/// How often control looks at its clocks; the finest of its times is the pause
/// between two questions while a primary is replaced.
constexpr state::duration tick_interval{40};
/// How often the settings file is looked at; it may change without a signal.
constexpr state::duration file_interval{2000};
/// Left of the grace when sessions are over, for what follows.
constexpr state::duration end_reserve{1200};
/// How long the process stays for its last writes to the store.
constexpr state::duration leave_limit{500};

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

using gauges = std::vector<transport::gauge_sample>;

void add_member_gauge(gauges& to, member_gauge const& gauge)
{
    std::vector<transport::metric_label> const labels{
        {"group", gauge.m_group}, {"member", gauge.m_member}};
    to.push_back({"member_connections", "connections to a member", labels,
                  static_cast<double>(gauge.m_connections)});
    to.push_back({"member_in_flight", "statements at a member", labels,
                  static_cast<double>(gauge.m_in_flight)});
    to.push_back({"member_lag_ms", "lag behind the primary", labels,
                  static_cast<double>(gauge.m_lag.count())});
    to.push_back({"group_waiting", "statements that wait for a member", labels,
                  static_cast<double>(gauge.m_waiting)});
}

void add_reads(gauges& to, std::string const& group, read_counts const& counts)
{
    auto const add = [&](char const* where, std::uint64_t count)
    {
        to.push_back({"reads",
                      "reads sent, by where and why",
                      {{"group", group}, {"where", where}},
                      static_cast<double>(count)});
    };
    add("replica", counts.m_replica);
    add("primary_asked", counts.m_primary_required);
    add("primary_no_position", counts.m_no_position);
    add("primary_replicas_lag", counts.m_replicas_lag);
    add("primary_replicas_full", counts.m_replicas_full);
}

gauges traffic_gauges(traffic const& from)
{
    gauges all;
    all.push_back({"sessions",
                   "sessions of callers",
                   {},
                   static_cast<double>(from.sessions())});
    all.push_back({"forwarding_instances",
                   "instances that send statements here",
                   {},
                   static_cast<double>(from.links())});
    for (auto const& gauge : from.gauges())
    {
        add_member_gauge(all, gauge);
    }
    for (auto const& [group, counts] : from.reads())
    {
        add_reads(all, group, counts);
    }
    return all;
}

std::int64_t modified(std::string const& path)
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

std::optional<platform::process_settings> read_place(std::string const& path,
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
    platform::settings_error fault;
    auto place = platform::parse_process_settings(text.str(), fault);
    if (!place)
    {
        error = path + ": " + fault.m_key + ": expected " + fault.m_expected;
    }
    return place;
}

proxy_instance::proxy_instance(platform::process_settings place,
                               std::string path)
    : m_place(std::move(place)),
      m_path(std::move(path)),
      m_log(m_metrics),
      m_store(m_control, m_place.m_store_address),
      m_fleet(m_control, m_store, m_place, unix_milliseconds()),
      m_replacements(
          m_control, m_store, m_fleet, m_place.m_promotion_address,
          [this](close_request const& request, std::function<void()> closed)
          { close_here(request, std::move(closed)); }),
      m_server(m_control),
      m_traffic(m_traffic_context, *this),
      m_tick(m_control),
      m_signals(m_control, SIGTERM, SIGINT, SIGHUP),
      m_file_changed(modified(m_path))
{
}

proxy_instance::~proxy_instance() = default;

bool proxy_instance::run()
{
    std::signal(SIGPIPE, SIG_IGN);
    serve_pages();
    if (!m_server.listen(m_place.m_listen_readiness) ||
        !m_server.listen(m_place.m_listen_peers) ||
        !m_traffic.listen_forwarded(m_place.m_listen_forwarded) ||
        !m_traffic.listen(m_place.m_listen_callers))
    {
        transport::log_error(log_part::main, "an address can't be had",
                             {{"callers", m_place.m_listen_callers},
                              {"readiness", m_place.m_listen_readiness},
                              {"peers", m_place.m_listen_peers},
                              {"forwarded", m_place.m_listen_forwarded}});
        return false;
    }
    transport::log_info(log_part::main, "started",
                        {{"instance", m_place.m_name},
                         {"data_centre", m_place.m_data_centre},
                         {"born", m_fleet.born()},
                         {"peers", m_place.m_listen_peers},
                         {"first", m_place.m_first_start}});
    m_fleet.start([this](std::shared_ptr<fleet_view const> view)
                  { take_view(std::move(view)); },
                  [this] { m_replacements.records_changed(); });
    wait_for_signal();
    tick();
    auto const guard = asio::make_work_guard(m_traffic_context);
    std::thread traffic_thread([this] { m_traffic_context.run(); });
    m_control.run();
    m_traffic_context.stop();
    traffic_thread.join();
    transport::log_info(log_part::main, "stopped",
                        {{"instance", m_place.m_name}});
    return true;
}

void proxy_instance::serve_pages()
{
    m_server.on(
        platform::readiness_path,
        [this](platform::http_request const&, http_server::respond const& done)
        { answer_readiness(done); });
    m_server.on(metrics_path, [this](platform::http_request const&,
                                     http_server::respond const& done)
                { answer_metrics(done); });
    m_server.on(close_path, [this](platform::http_request const& request,
                                   http_server::respond const& done)
                { answer_close(request, done); });
    m_server.on(
        ping_path,
        [this](platform::http_request const&, http_server::respond const& done)
        {
            done(encode(close_response{m_fleet.name(), m_fleet.born(), 0}));
        });
    m_server.on(news_path, [this](platform::http_request const& request,
                                  http_server::respond const& done)
                { answer_news(request, done); });
    m_server.on(unreachable_path,
                [this](platform::http_request const& request,
                       http_server::respond const& done)
                {
                    auto const word = decode_unreachable_word(request.m_body);
                    if (word)
                    {
                        m_replacements.take_word(*word);
                    }
                    done({word ? status_ok : status_bad_request, {}});
                });
}

void proxy_instance::answer_readiness(http_server::respond const& done)
{
    bool const ready = m_has_view && !m_stopping;
    done({ready ? status_ok : status_unavailable, {}});
}

void proxy_instance::answer_news(platform::http_request const& request,
                                 http_server::respond const& done)
{
    auto const message = decode_news_request(request.m_target);
    if (!message)
    {
        done({status_bad_request, {}});
        return;
    }
    m_fleet.serve(*message, done);
}

void proxy_instance::answer_close(platform::http_request const& request,
                                  http_server::respond const& done)
{
    auto const message = decode_close_request(request.m_body);
    if (!message)
    {
        done({status_bad_request, {}});
        return;
    }
    m_fleet.note_asked(message->m_group, message->m_revision);
    close_here(*message,
               [this, message = *message, done]
               {
                   done(encode(close_response{m_fleet.name(), m_fleet.born(),
                                              message.m_revision}));
               });
}

void proxy_instance::answer_metrics(http_server::respond const& done)
{
    // The gauges belong to the traffic thread, which makes the page.
    asio::post(
        m_traffic_context,
        [this, done, calls = m_store.calls(), failures = m_store.failures(),
         holds = m_replacements.holds_duty()]
        {
            auto gauges = traffic_gauges(m_traffic);
            gauges.push_back({"store_calls",
                              "calls to the store since the start",
                              {},
                              static_cast<double>(calls)});
            gauges.push_back({"store_failures",
                              "calls to the store that failed",
                              {},
                              static_cast<double>(failures)});
            gauges.push_back({"holds_duty",
                              "1: it replaces primaries",
                              {},
                              holds ? 1.0 : 0.0});
            auto page = transport::metrics_text(m_metrics.snapshot(), gauges);
            asio::post(m_control,
                       [done, page = std::move(page)] {
                           done({status_ok, page});
                       });
        });
}

void proxy_instance::close_here(close_request const& request,
                                std::function<void()> closed)
{
    transport::log_info(log_part::group, "asked to stop using a primary",
                        {{"group", request.m_group},
                         {"revision", request.m_revision},
                         {"orderly", request.m_orderly}});
    asio::post(m_traffic_context,
               [this, request, closed = std::move(closed)]
               {
                   m_traffic.close_primary(
                       request.m_group, request.m_revision, request.m_orderly,
                       [this, closed] { asio::post(m_control, closed); });
               });
}

void proxy_instance::take_view(std::shared_ptr<fleet_view const> view)
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
    if (now - m_last_look < file_interval)
    {
        return;
    }
    m_last_look = now;
    if (modified(m_path) != m_file_changed)
    {
        reload();
    }
}

void proxy_instance::reload()
{
    m_file_changed = modified(m_path);
    std::string error;
    auto const place = read_place(m_path, error);
    if (!place)
    {
        transport::log_error(log_part::settings, "settings kept as they were",
                             {{"cause", error}});
        return;
    }
    transport::log_info(log_part::settings, "settings read again",
                        {{"changed", *place != m_place}});
    m_store.set_address(place->m_store_address);
    m_replacements.set_promotion_address(place->m_promotion_address);
    m_place.m_stop_grace = place->m_stop_grace;
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
                        {{"grace", m_place.m_stop_grace}});
    m_replacements.release([] {});
    stop_times times;
    times.m_transactions = m_place.m_stop_grace / 2;
    times.m_end = m_place.m_stop_grace - end_reserve;
    asio::post(m_traffic_context,
               [this, times]
               {
                   m_traffic.stop(
                       times,
                       [this] { asio::post(m_control, [this] { leave(); }); });
               });
}

void proxy_instance::leave()
{
    auto const timer = std::make_shared<asio::steady_timer>(m_control);
    timer->expires_after(leave_limit);
    timer->async_wait([this, timer](error_code) { m_control.stop(); });
    m_fleet.leave([this] { m_control.stop(); });
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
                        reached ? "member reached again" : "member not reached",
                        {{"group", group}, {"member", member}});
}

void proxy_instance::primary_unreachable(std::string const& group,
                                         std::string const& member)
{
    asio::post(m_control, [this, group, member]
               { m_replacements.send_word(group, member); });
}

void proxy_instance::primary_closed(std::string const& group,
                                    std::uint64_t revision)
{
    transport::log_info(log_part::group, "primary not used any more",
                        {{"group", group}, {"revision", revision}});
    asio::post(m_control, [this, group, revision]
               { m_fleet.note_closed(group, revision); });
}

} // namespace camphortide::proxy
