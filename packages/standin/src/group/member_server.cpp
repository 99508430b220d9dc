#include "connection_stream.hpp"
#include "observe_stream.hpp"

#include <algorithm>
#include <utility>

#include <grpcpp/grpcpp.h>

#include <camphortide/protocol/member_conversion.hpp>
#include <camphortide/standin/group/group_server.hpp>
#include <camphortide/standin/group/member_server.hpp>

namespace camphortide::standin
{

namespace
{

using server_builder = grpc::ServerBuilder;

/// A stream that ends immediately with an error status.
template <typename Request, typename Reply>
class refused_stream final : public grpc::ServerBidiReactor<Request, Reply>
{
public:
    explicit refused_stream(grpc::Status const& status)
    {
        this->Finish(status);
    }

private:
    void OnDone() override { delete this; }
};

} // namespace

member_server::member_server(group_server& group, std::string name)
    : m_group(group),
      m_model(std::move(name)),
      m_last_primary_contact(monotonic_time::clock::now())
{
}

member_server::~member_server()
{
    stop();
}

void member_server::start()
{
    server_builder builder;
    builder.AddListeningPort("127.0.0.1:" + std::to_string(m_port),
                             m_group.m_options.m_credentials, &m_port);
    builder.RegisterService(this);
    auto server = builder.BuildAndStart();
    std::scoped_lock const lock(m_group.m_mutex);
    m_server = std::move(server);
    m_running = m_server != nullptr;
    m_last_primary_contact = monotonic_time::clock::now();
}

void member_server::stop()
{
    std::unique_ptr<grpc::Server> server;
    {
        std::scoped_lock const lock(m_group.m_mutex);
        m_running = false;
        ++m_generation;
        m_slots_used = 0;
        m_slot_queue.clear();
        m_model.restart();
        server = std::move(m_server);
        run_deferred();
        close_streams();
    }
    if (server)
    {
        server->Shutdown(std::chrono::system_clock::now());
        server->Wait();
    }
}

std::string member_server::address() const
{
    return "127.0.0.1:" + std::to_string(m_port);
}

void member_server::notify()
{
    for (auto const& observer : m_observers)
    {
        observer->push();
    }
}

endpoint::v1::MemberStatus
member_server::status_message(std::uint64_t probe) const
{
    auto status = m_model.status();
    status.m_leaving = m_leaving;
    status.m_connections = static_cast<std::uint32_t>(m_connections.size());
    status.m_connection_limit = m_group.m_options.m_connection_limit;
    status.m_slots = m_group.m_options.m_slots;
    status.m_probe = probe;
    if (status.m_role != state::member_role::primary)
    {
        status.m_primary_silence = std::chrono::duration_cast<state::duration>(
            monotonic_time::clock::now() - m_last_primary_contact);
    }
    return protocol::to_proto(status);
}

grpc::ServerBidiReactor<endpoint::v1::Statement, endpoint::v1::StatementReply>*
member_server::Connect(grpc::CallbackServerContext*)
{
    std::scoped_lock const lock(m_group.m_mutex);
    bool const full =
        m_connections.size() >= m_group.m_options.m_connection_limit;
    m_connection_counts.m_refused += m_running && full ? 1 : 0;
    if (!m_running || full)
    {
        return new refused_stream<endpoint::v1::Statement,
                                  endpoint::v1::StatementReply>(
            {grpc::StatusCode::RESOURCE_EXHAUSTED, "no connection is free"});
    }
    auto const stream = std::make_shared<connection_stream>(*this);
    m_connections.insert(stream);
    m_connection_counts.m_max_open =
        std::max(m_connection_counts.m_max_open, m_connections.size());
    stream->start();
    m_group.m_timers.after(
        m_group.m_options.m_open_delay, [stream, this]
        { when_reachable([stream] { stream->send_opened(); }); });
    return stream.get();
}

connection_counts member_server::connections() const
{
    auto result = m_connection_counts;
    result.m_open = m_connections.size();
    return result;
}

grpc::ServerBidiReactor<endpoint::v1::Probe, endpoint::v1::MemberStatus>*
member_server::Observe(grpc::CallbackServerContext*)
{
    std::scoped_lock const lock(m_group.m_mutex);
    auto const stream = std::make_shared<observe_stream>(*this);
    m_observers.insert(stream);
    stream->start();
    return stream.get();
}

grpc::ServerUnaryReactor*
member_server::Fence(grpc::CallbackServerContext* context,
                     endpoint::v1::FenceRequest const* request,
                     endpoint::v1::FenceReply* reply)
{
    auto* const reactor = context->DefaultReactor();
    reply_unary(reactor,
                [this, request = *request, reply]
                {
                    reply->set_granted(m_model.fence(
                        state::term(request.term()), request.proposer()));
                    *reply->mutable_status() = status_message(0);
                });
    return reactor;
}

grpc::ServerUnaryReactor*
member_server::Promote(grpc::CallbackServerContext* context,
                       endpoint::v1::PromoteRequest const* request,
                       endpoint::v1::ChangeReply* reply)
{
    auto* const reactor = context->DefaultReactor();
    reply_unary(reactor,
                [this, request = *request, reply]
                {
                    reply->set_done(m_model.promote(state::term(request.term()),
                                                    request.proposer()));
                    on_write();
                    *reply->mutable_status() = status_message(0);
                });
    return reactor;
}

grpc::ServerUnaryReactor*
member_server::Follow(grpc::CallbackServerContext* context,
                      endpoint::v1::FollowRequest const* request,
                      endpoint::v1::ChangeReply* reply)
{
    auto* const reactor = context->DefaultReactor();
    reply_unary(reactor,
                [this, request = *request, reply]
                {
                    reply->set_done(m_model.follow(state::term(request.term()),
                                                   request.primary()));
                    m_last_primary_contact = monotonic_time::clock::now();
                    *reply->mutable_status() = status_message(0);
                });
    return reactor;
}

void member_server::reply_unary(grpc::ServerUnaryReactor* reactor, task fill)
{
    after_network_delay(
        [this, reactor, fill = std::move(fill)]
        {
            when_reachable(
                [this, reactor, fill]
                {
                    if (!m_running)
                    {
                        reactor->Finish({grpc::StatusCode::UNAVAILABLE,
                                         "the member is down"});
                        return;
                    }
                    fill();
                    notify();
                    m_group.m_timers.after(
                        m_group.m_options.m_network_delay,
                        [reactor] { reactor->Finish(grpc::Status::OK); });
                });
        });
}

void member_server::when_reachable(task run)
{
    std::scoped_lock const lock(m_group.m_mutex);
    if (m_running && !is_reachable())
    {
        m_deferred.push_back(std::move(run));
        return;
    }
    run();
}

void member_server::after_network_delay(task run)
{
    auto const delay = m_group.m_options.m_network_delay;
    if (delay.count() == 0)
    {
        run_locked(run);
        return;
    }
    m_group.m_timers.after(delay,
                           [this, run = std::move(run)] { run_locked(run); });
}

void member_server::run_locked(task const& run)
{
    std::scoped_lock const lock(m_group.m_mutex);
    run();
}

void member_server::run_in_slot(task run)
{
    if (m_slots_used >= m_group.m_options.m_slots)
    {
        m_slot_queue.push_back(std::move(run));
        return;
    }
    ++m_slots_used;
    if (m_statement_time.count() == 0)
    {
        run();
        release_slot();
        return;
    }
    m_group.m_timers.after(
        m_statement_time,
        [this, run = std::move(run), generation = m_generation]
        {
            std::scoped_lock const lock(m_group.m_mutex);
            if (generation == m_generation)
            {
                when_reachable(run);
                release_slot();
            }
        });
}

void member_server::release_slot()
{
    --m_slots_used;
    if (m_slot_queue.empty())
    {
        return;
    }
    auto next = std::move(m_slot_queue.front());
    m_slot_queue.pop_front();
    run_in_slot(std::move(next));
}

void member_server::on_write()
{
    m_group.replicate_from(*this);
    notify();
}

void member_server::remove_stream(
    std::shared_ptr<connection_stream> const& stream)
{
    std::scoped_lock const lock(m_group.m_mutex);
    m_connections.erase(stream);
}

void member_server::remove_stream(std::shared_ptr<observe_stream> const& stream)
{
    std::scoped_lock const lock(m_group.m_mutex);
    m_observers.erase(stream);
}

void member_server::run_deferred()
{
    auto const deferred = std::exchange(m_deferred, {});
    for (auto const& run : deferred)
    {
        when_reachable(run);
    }
}

void member_server::close_streams()
{
    grpc::Status const status(grpc::StatusCode::UNAVAILABLE,
                              "the member is down");
    for (auto const& stream : std::exchange(m_connections, {}))
    {
        stream->finish(status);
    }
    for (auto const& stream : std::exchange(m_observers, {}))
    {
        stream->finish(status);
    }
}

} // namespace camphortide::standin
