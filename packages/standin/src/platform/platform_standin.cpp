#include "platform_service.hpp"

#include <chrono>
#include <utility>

#include <camphortide/standin/platform/platform_standin.hpp>

namespace camphortide::standin
{

namespace
{

constexpr int max_message_size = 4 << 20; ///< bytes; fits a list of objects

} // namespace

platform_standin::platform_standin()
    : m_service(std::make_unique<platform_service>())
{
}

platform_standin::~platform_standin()
{
    stop();
}

absl::StatusOr<std::string> platform_standin::listen(
    std::string const& address,
    std::shared_ptr<grpc::ServerCredentials> const& credentials)
{
    int port = 0;
    grpc::ServerBuilder builder;
    builder.AddListeningPort(address, credentials, &port);
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.SetMaxReceiveMessageSize(max_message_size);
    builder.RegisterService(m_service.get());
    m_service->m_server = builder.BuildAndStart();
    if (m_service->m_server == nullptr || port == 0)
    {
        return absl::UnavailableError("cannot listen on " + address);
    }
    return address.substr(0, address.rfind(':') + 1) + std::to_string(port);
}

void platform_standin::stop()
{
    if (m_service->m_server != nullptr)
    {
        m_service->break_watches();
        m_service->m_server->Shutdown(std::chrono::system_clock::now());
        m_service->m_server->Wait();
        m_service->m_server.reset();
    }
}

void platform_standin::set_outage(bool on)
{
    {
        std::scoped_lock const lock(m_service->m_mutex);
        m_service->m_admission.set_outage(on);
    }
    if (on)
    {
        m_service->break_watches();
    }
}

void platform_standin::set_delay(state::duration delay)
{
    std::scoped_lock const lock(m_service->m_mutex);
    m_service->m_delay = delay;
}

void platform_standin::lose_replies(std::uint32_t count)
{
    std::scoped_lock const lock(m_service->m_mutex);
    m_service->m_lost_replies = count;
}

void platform_standin::set_rates(platform_rates rates)
{
    std::scoped_lock const lock(m_service->m_mutex);
    m_service->m_admission.set_rates(rates);
}

platform_counts platform_standin::counts() const
{
    std::scoped_lock const lock(m_service->m_mutex);
    return m_service->m_admission.counts();
}

void platform_standin::set_instance(listed_instance instance)
{
    std::scoped_lock const lock(m_service->m_mutex);
    m_service->m_instances.set(std::move(instance), state::clock::now());
}

void platform_standin::remove_instance(std::string const& name)
{
    std::scoped_lock const lock(m_service->m_mutex);
    m_service->m_instances.remove(name, state::clock::now());
}

void platform_standin::set_instance_lag(state::duration lag)
{
    std::scoped_lock const lock(m_service->m_mutex);
    m_service->m_instances.set_lag(lag);
}

change_result platform_standin::put(std::string const& name,
                                    std::uint64_t if_version, std::string value)
{
    return m_service->change_object(name, if_version, std::move(value));
}

std::optional<stored_object>
platform_standin::get(std::string const& name) const
{
    std::scoped_lock const lock(m_service->m_mutex);
    return m_service->m_store.get(name);
}

} // namespace camphortide::standin
