#include <algorithm>
#include <chrono>
#include <future>
#include <thread>
#include <utility>

#include <camphortide/protocol/hexadecimal.hpp>
#include <camphortide/transport/instance/forward_conversion.hpp>
#include <camphortide/transport/instance/instance.hpp>
#include <camphortide/transport/instance/server_builder.hpp>
#include <camphortide/transport/instance/status_report.hpp>
#include <camphortide/transport/logging/log.hpp>

namespace camphortide::transport
{

namespace
{

constexpr state::duration tick_interval{10};
/// Time for which new requests are still accepted after the leave has been
/// announced.
constexpr std::chrono::milliseconds leave_announce_time{300};
constexpr std::chrono::milliseconds drain_poll_interval{5};
constexpr std::chrono::milliseconds share_check_timeout{100};
/// Time limit of a drain for returning the shares to the ledgers.
constexpr state::duration share_return_timeout{2000};

std::uint64_t milliseconds_since_1970()
{
    auto const now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

std::vector<std::string> token_keys(instance_settings const& settings)
{
    std::vector<std::string> keys;
    for (auto const& digits : settings.m_token_keys)
    {
        keys.push_back(
            protocol::from_hexadecimal(digits).value_or(std::string()));
    }
    return keys;
}

request_route route_of(group_reply const& reply, std::string const& self)
{
    if (reply.m_member.empty())
    {
        return request_route::none;
    }
    if (reply.m_home != self)
    {
        return request_route::forwarded;
    }
    return reply.m_from_replica ? request_route::replica
                                : request_route::primary;
}

} // namespace

absl::StatusOr<std::unique_ptr<instance>>
instance::start(instance_settings const& settings, gateway_policy const& policy)
{
    std::unique_ptr<instance> result(new instance(settings, policy));
    if (auto const status = result->open_exchange(); !status.ok())
    {
        return status;
    }
    result->make_services();
    if (auto const status = result->open_servers(); !status.ok())
    {
        return status;
    }
    log_info(log_part::main, "The instance is running.",
             {{"name", settings.m_name},
              {"callers", result->m_caller_address},
              {"peers", result->peer_address()}});
    return result;
}

instance::instance(instance_settings settings, gateway_policy const& policy)
    : m_settings(std::move(settings)),
      m_policy(policy),
      m_incarnation(milliseconds_since_1970()),
      m_codec(token_keys(m_settings)),
      m_check(m_codec, m_settings.m_max_message_bytes, m_settings.m_name),
      m_start_time(state::clock::now())
{
}

instance::~instance()
{
    if (m_caller_server)
    {
        m_caller_server->Shutdown(std::chrono::system_clock::now());
    }
    if (m_admin_server)
    {
        m_admin_server->Shutdown(std::chrono::system_clock::now());
    }
    if (m_loop)
    {
        m_loop->stop();
    }
    // Requests waiting in a gateway are answered through the exchange, so the
    // gateways are closed before it stops.
    if (m_fleet)
    {
        m_fleet->close();
    }
    if (m_forward_client)
    {
        m_forward_client->tick(state::time_point::max());
    }
    if (m_router)
    {
        m_router->tick(state::time_point::max());
    }
    if (m_exchange)
    {
        m_exchange->stop();
    }
    m_platform.reset();
    m_caller_server.reset();
    m_admin_server.reset();
}

absl::Status instance::open_exchange()
{
    peer_socket_settings socket;
    socket.m_listen = m_settings.m_listen_peers;
    socket.m_max_message_bytes = 2 * m_settings.m_max_message_bytes;
    socket.m_curve_public_key = m_settings.m_curve_public_key;
    socket.m_curve_secret_key = m_settings.m_curve_secret_key;
    // Messages arrive as soon as the exchange is open, so the loop exists
    // before.
    m_loop = std::make_shared<control_loop>(tick_interval, [this] { tick(); });
    peer_exchange::handlers handlers;
    handlers.m_on_control = [this](peer_route const& from, auto envelope)
    {
        m_loop->post(
            [this, from, envelope]
            {
                if (m_fleet)
                {
                    m_fleet->on_message(from, *envelope);
                }
            });
    };
    handlers.m_on_forward = [this](peer_route const& from, auto envelope)
    {
        if (m_forwarding_ready)
        {
            on_forward(from, *envelope);
        }
    };
    handlers.m_on_undelivered = [this](std::uint64_t message_id)
    {
        if (m_forwarding_ready)
        {
            m_forward_client->request_undelivered(message_id);
        }
    };
    auto exchange = peer_exchange::open(socket, std::move(handlers));
    if (!exchange.ok())
    {
        return exchange.status();
    }
    m_exchange = *std::move(exchange);
    if (m_settings.m_advertised_peers.empty())
    {
        m_settings.m_advertised_peers = m_exchange->address();
    }
    return absl::OkStatus();
}

void instance::make_services()
{
    if (!m_settings.m_platform_address.empty())
    {
        m_platform = std::make_unique<platform_client>(
            m_settings.m_platform_address, m_settings.m_platform_timeout,
            m_settings.m_tls_authority);
    }
    m_forward_client = std::make_unique<forward_client>(*m_exchange);
    m_router = std::make_unique<instance_router>(m_settings.m_name, m_homes,
                                                 *m_forward_client);
    m_access = std::make_unique<access_service>(
        m_check, *m_router, m_codec, [this] { return served(); },
        [this](auto const& request, auto const& reply, auto latency)
        { record(request, reply, latency); },
        m_settings.m_name + "/" + std::to_string(m_incarnation) + "/");
    m_admin = std::make_unique<admin_service>(
        [this](auto done) { status(std::move(done)); }, m_metrics);
    m_forwarding_ready = true;
    start_control();
}

void instance::start_control()
{
    m_loop->post(
        [this]
        {
            m_fleet = std::make_unique<fleet_control>(
                m_settings, m_policy, m_incarnation, m_homes, *m_exchange,
                m_platform.get(), m_loop,
                fleet_control::handlers{
                    [this](auto value) { set_catalogue(std::move(value)); },
                    [this](std::string const& name)
                    { m_forward_client->instance_gone(name); },
                    [this] { m_drain_requested = true; },
                    [this]
                    {
                        return m_access->in_flight() == 0;
                    }});
        });
}

absl::Status instance::open_servers()
{
    auto callers = open_server(m_settings, m_settings.m_listen_callers,
                               *m_access, m_caller_address);
    if (!callers.ok())
    {
        return callers.status();
    }
    m_caller_server = *std::move(callers);
    auto admin = open_server(m_settings, m_settings.m_listen_admin, *m_admin,
                             m_admin_address);
    if (!admin.ok())
    {
        return admin.status();
    }
    m_admin_server = *std::move(admin);
    return absl::OkStatus();
}

bool instance::drain()
{
    log_info(log_part::main, "The instance is draining.",
             {{"in_flight", m_access->in_flight()}});
    m_caller_server->GetHealthCheckService()->SetServingStatus(false);
    m_loop->post([this] { m_fleet->leave(); });
    std::this_thread::sleep_for(leave_announce_time);
    auto const drain_deadline = state::clock::now() + m_settings.m_drain_time;
    m_access->drain();
    auto const busy = [this]
    {
        if (m_access->in_flight() > 0)
        {
            return true;
        }
        for (auto const& gateway : m_homes.all())
        {
            if (!gateway->idle())
            {
                return true;
            }
        }
        return false;
    };
    while (busy() && state::clock::now() < drain_deadline)
    {
        std::this_thread::sleep_for(drain_poll_interval);
    }
    bool const clean = !busy();
    auto const share_deadline =
        std::min(drain_deadline, state::clock::now() + share_return_timeout);
    while (!shares_returned() && state::clock::now() < share_deadline)
    {
        std::this_thread::sleep_for(drain_poll_interval);
    }
    log_info(log_part::main, "The instance has drained.", {{"clean", clean}});
    return clean;
}

bool instance::shares_returned()
{
    auto const answer = std::make_shared<std::promise<bool>>();
    auto result = answer->get_future();
    m_loop->post([this, answer] { answer->set_value(m_fleet->has_left()); });
    return result.wait_for(share_check_timeout) == std::future_status::ready &&
           result.get();
}

bool instance::knows_primary(std::string const& group) const
{
    auto const gateway = m_homes.find(group);
    return gateway && gateway->report().m_primary.has_value();
}

void instance::status(admin_service::status_handler done)
{
    m_loop->post([this, done = std::move(done)] { done(make_status()); });
}

admin::v1::StatusReply instance::make_status()
{
    m_fleet->request_versions(); // for the next report
    auto reply = make_status_report(*m_fleet, m_homes, state::clock::now());
    reply.set_name(m_settings.m_name);
    reply.set_region(m_settings.m_region);
    reply.set_program_version(CAMPHORTIDE_VERSION);
    reply.set_uptime_ms(static_cast<std::uint64_t>(
        (state::clock::now() - m_start_time).count()));
    reply.set_requests_in_flight(
        static_cast<std::uint32_t>(m_access->in_flight()));
    return reply;
}

std::shared_ptr<state::catalogue const> instance::catalogue() const
{
    auto const current = served();
    return current ? current->entries() : nullptr;
}

std::shared_ptr<served_catalogue const> instance::served() const
{
    std::scoped_lock const lock(m_catalogue_mutex);
    return m_served;
}

void instance::set_catalogue(std::shared_ptr<state::catalogue const> value)
{
    auto served =
        std::make_shared<served_catalogue const>(std::move(value), m_metrics);
    std::scoped_lock const lock(m_catalogue_mutex);
    m_served = std::move(served);
}

void instance::on_forward(peer_route const& from,
                          peer::v1::Envelope const& envelope)
{
    if (envelope.has_forward_reply())
    {
        m_forward_client->reply_received(envelope.forward_reply());
        return;
    }
    if (!envelope.has_forward_request())
    {
        return;
    }
    auto const& message = envelope.forward_request();
    m_router->serve_forwarded(
        from_proto(message, envelope.sender(), state::clock::now()),
        [this, from, number = message.number()](group_reply const& reply)
        {
            peer::v1::Envelope answer;
            *answer.mutable_forward_reply() = to_proto(reply);
            answer.mutable_forward_reply()->set_number(number);
            m_exchange->reply(from, std::move(answer));
        });
}

void instance::record(checked_request const& request, group_reply const& reply,
                      std::chrono::microseconds latency)
{
    request_sample sample;
    sample.m_outcome = reply.m_outcome;
    sample.m_reason = reply.m_reason;
    sample.m_route = route_of(reply, m_settings.m_name);
    sample.m_latency = latency;
    sample.m_queue_wait = reply.m_queue_wait;
    if (reply.m_age)
    {
        sample.m_age = *reply.m_age;
    }
    request.m_metrics->record(sample);
}

void instance::tick()
{
    if (!m_fleet)
    {
        return;
    }
    auto const now = state::clock::now();
    m_fleet->tick(now);
    m_forward_client->tick(now);
    m_router->tick(now);
}

} // namespace camphortide::transport
