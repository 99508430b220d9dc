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

/// A stream that ends at once.
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
      m_heard(moment::clock::now())
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
    m_heard = moment::clock::now();
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
        run_held();
        drop_streams();
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
            moment::clock::now() - m_heard);
    }
    return protocol::to_proto(status);
}

grpc::ServerBidiReactor<endpoint::v1::Statement, endpoint::v1::StatementReply>*
member_server::Connect(grpc::CallbackServerContext*)
{
    std::scoped_lock const lock(m_group.m_mutex);
    bool const full =
        m_connections.size() >= m_group.m_options.m_connection_limit;
    m_counted.m_refused += m_running && full ? 1 : 0;
    if (!m_running || full)
    {
        return new refused_stream<endpoint::v1::Statement,
                                  endpoint::v1::StatementReply>(
            {grpc::StatusCode::RESOURCE_EXHAUSTED, "no connection is free"});
    }
    auto const stream = std::make_shared<connection_stream>(*this);
    m_connections.insert(stream);
    m_counted.m_most = std::max(m_counted.m_most, m_connections.size());
    stream->start();
    m_group.m_timers.after(m_group.m_options.m_open_delay, [stream, this]
                           { when_answering([stream] { stream->opened(); }); });
    return stream.get();
}

connection_counts member_server::connections() const
{
    auto result = m_counted;
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
    answer_unary(reactor,
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
    answer_unary(reactor,
                 [this, request = *request, reply]
                 {
                     reply->set_done(m_model.promote(
                         state::term(request.term()), request.proposer()));
                     written();
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
    answer_unary(reactor,
                 [this, request = *request, reply]
                 {
                     reply->set_done(m_model.follow(state::term(request.term()),
                                                    request.primary()));
                     m_heard = moment::clock::now();
                     *reply->mutable_status() = status_message(0);
                 });
    return reactor;
}

void member_server::answer_unary(grpc::ServerUnaryReactor* reactor, task fill)
{
    after_network_delay(
        [this, reactor, fill = std::move(fill)]
        {
            when_answering(
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

void member_server::when_answering(task run)
{
    std::scoped_lock const lock(m_group.m_mutex);
    if (m_running && !answers())
    {
        m_held.push_back(std::move(run));
        return;
    }
    run();
}

void member_server::after_network_delay(task run)
{
    auto const delay = m_group.m_options.m_network_delay;
    if (delay.count() == 0)
    {
        under_lock(run);
        return;
    }
    m_group.m_timers.after(delay,
                           [this, run = std::move(run)] { under_lock(run); });
}

void member_server::under_lock(task const& run)
{
    std::scoped_lock const lock(m_group.m_mutex);
    run();
}

void member_server::in_slot(task run)
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
                when_answering(run);
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
    in_slot(std::move(next));
}

void member_server::written()
{
    m_group.replicate_from(*this);
    notify();
}

void member_server::forget(std::shared_ptr<connection_stream> const& stream)
{
    std::scoped_lock const lock(m_group.m_mutex);
    m_connections.erase(stream);
}

void member_server::forget(std::shared_ptr<observe_stream> const& stream)
{
    std::scoped_lock const lock(m_group.m_mutex);
    m_observers.erase(stream);
}

void member_server::run_held()
{
    auto const held = std::exchange(m_held, {});
    for (auto const& run : held)
    {
        when_answering(run);
    }
}

void member_server::drop_streams()
{
    grpc::Status const gone(grpc::StatusCode::UNAVAILABLE,
                            "the member is down");
    for (auto const& stream : std::exchange(m_connections, {}))
    {
        stream->finish(gone);
    }
    for (auto const& stream : std::exchange(m_observers, {}))
    {
        stream->finish(gone);
    }
}

} // namespace camphortide::standin
