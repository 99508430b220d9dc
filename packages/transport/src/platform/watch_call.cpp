#include "watch_call.hpp"

#include <chrono>
#include <utility>

namespace camphortide::transport
{

namespace
{

constexpr state::duration first_backoff{50};
constexpr state::duration max_backoff{2000};

} // namespace

/// One stream of the watch. Owns itself until gRPC has released it.
class watch_call::attempt
    : public grpc::ClientReadReactor<platform::v1::WatchEvent>
{
public:
    explicit attempt(std::shared_ptr<watch_call> call) : m_call(std::move(call))
    {
    }

    void start(std::shared_ptr<attempt> self, std::uint64_t after_version)
    {
        m_self = std::move(self);
        m_request.set_prefix(m_call->m_prefix);
        m_request.set_after_version(after_version);
        m_call->m_stub->async()->Watch(&m_context, &m_request, this);
        StartRead(&m_event);
        StartCall();
    }

    void cancel() { m_context.TryCancel(); }

private:
    void OnReadInitialMetadataDone(bool ok) override
    {
        if (ok)
        {
            m_call->on_opened();
        }
    }

    void OnReadDone(bool ok) override
    {
        if (ok)
        {
            m_call->on_changed(m_event);
            StartRead(&m_event);
        }
    }

    void OnDone(grpc::Status const&) override
    {
        // The context holds a reference to the channel, so it is released
        // before the watch handles the end.
        auto const call = m_call;
        auto self = std::move(m_self);
        call->release_attempt();
        self.reset();
        call->on_broken();
    }

    std::shared_ptr<watch_call> m_call;
    std::shared_ptr<attempt> m_self;
    grpc::ClientContext m_context;
    platform::v1::WatchRequest m_request;
    platform::v1::WatchEvent m_event;
};

watch_call::watch_call(std::shared_ptr<platform::v1::Objects::Stub> stub,
                       std::string prefix, std::uint64_t after_version,
                       watch_handlers handlers)
    : m_stub(std::move(stub)),
      m_prefix(std::move(prefix)),
      m_handlers(std::move(handlers)),
      m_after_version(after_version),
      m_backoff(first_backoff, max_backoff),
      m_random(std::random_device{}())
{
}

void watch_call::start()
{
    std::scoped_lock const lock(m_mutex);
    open();
}

void watch_call::stop()
{
    std::unique_lock lock(m_mutex);
    m_stopped = true;
    if (m_attempt != nullptr)
    {
        m_attempt->cancel();
    }
    if (m_alarm != nullptr)
    {
        m_alarm->Cancel();
    }
    m_ended.wait(lock, [this] { return !m_running && m_alarm == nullptr; });
    m_stub.reset();
}

void watch_call::open()
{
    m_running = true;
    m_attempt = std::make_shared<attempt>(shared_from_this());
    m_attempt->start(m_attempt, m_after_version);
}

void watch_call::on_opened()
{
    std::scoped_lock const lock(m_mutex);
    m_backoff.reset();
    m_connected = true;
    if (!m_stopped && m_handlers.m_on_connected)
    {
        m_handlers.m_on_connected(true);
    }
}

void watch_call::on_changed(platform::v1::WatchEvent const& event)
{
    std::scoped_lock const lock(m_mutex);
    if (m_stopped || event.object().version() <= m_after_version)
    {
        return;
    }
    m_after_version = event.object().version();
    m_handlers.m_on_change({{event.object().name(), event.object().version(),
                             event.object().value()},
                            event.deleted()});
}

void watch_call::release_attempt()
{
    std::scoped_lock const lock(m_mutex);
    m_attempt = nullptr;
}

void watch_call::on_broken()
{
    std::scoped_lock const lock(m_mutex);
    m_running = false;
    if (m_stopped)
    {
        m_ended.notify_all();
        return;
    }
    if (std::exchange(m_connected, false) && m_handlers.m_on_connected)
    {
        m_handlers.m_on_connected(false);
    }
    auto const wait = m_backoff.next(m_random());
    m_alarm = std::make_shared<grpc::Alarm>();
    m_alarm->Set(std::chrono::system_clock::now() + wait,
                 [self = shared_from_this()](bool)
                 {
                     std::scoped_lock const inner(self->m_mutex);
                     self->m_alarm = nullptr;
                     self->m_ended.notify_all();
                     if (!self->m_stopped)
                     {
                         self->open();
                     }
                 });
}

} // namespace camphortide::transport
