#include <chrono>
#include <utility>

#include <camphortide/transport/gateway/member_client.hpp>
#include <camphortide/transport/grpc_lifetime.hpp>

namespace camphortide::transport
{

namespace
{

/// Bounds of the wait between two attempts to connect to a member.
constexpr int max_backoff_ms = 200;
constexpr int min_backoff_ms = 50;

std::shared_ptr<grpc::Channel>
make_channel(std::string const& address,
             std::shared_ptr<grpc::ChannelCredentials> const& credentials)
{
    keep_grpc_alive();
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, max_backoff_ms);
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, min_backoff_ms);
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, min_backoff_ms);
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    return grpc::CreateCustomChannel(address, credentials, arguments);
}

/// Context, request and reply of a unary call, kept alive until its answer.
template <typename Request, typename Reply>
struct unary_call
{
    grpc::ClientContext m_context;
    Request m_request;
    Reply m_reply;
};

template <typename Request, typename Reply, typename Async>
void call(Request const& request, state::duration timeout,
          std::function<void(grpc::Status const&, Reply const&)> done,
          Async const& async)
{
    auto const state = std::make_shared<unary_call<Request, Reply>>();
    state->m_request = request;
    state->m_context.set_deadline(std::chrono::system_clock::now() + timeout);
    async(&state->m_context, &state->m_request, &state->m_reply,
          [state, done = std::move(done)](grpc::Status const& status)
          { done(status, state->m_reply); });
}

} // namespace

member_connection::member_connection(reply_handler on_reply,
                                     close_handler on_close)
    : m_on_reply(std::move(on_reply)),
      m_on_close(std::move(on_close))
{
}

void member_connection::handle(endpoint::v1::StatementReply const& reply)
{
    m_on_reply(reply);
}

void member_connection::on_closed(grpc::Status const& status)
{
    m_on_close(status);
}

member_observation::member_observation(status_handler on_status,
                                       close_handler on_close)
    : m_on_status(std::move(on_status)),
      m_on_close(std::move(on_close))
{
}

void member_observation::handle(endpoint::v1::MemberStatus const& status)
{
    m_on_status(status);
}

void member_observation::on_closed(grpc::Status const& status)
{
    m_on_close(status);
}

member_client::member_client(
    std::string address,
    std::shared_ptr<grpc::ChannelCredentials> const& credentials)
    : m_address(std::move(address)),
      m_stub(
          endpoint::v1::Member::NewStub(make_channel(m_address, credentials)))
{
}

std::shared_ptr<member_connection>
member_client::connect(member_connection::reply_handler on_reply,
                       member_connection::close_handler on_close)
{
    auto connection = std::make_shared<member_connection>(std::move(on_reply),
                                                          std::move(on_close));
    connection->start([this](auto* context, auto* reactor)
                      { m_stub->async()->Connect(context, reactor); });
    return connection;
}

std::shared_ptr<member_observation>
member_client::observe(member_observation::status_handler on_status,
                       member_observation::close_handler on_close)
{
    auto observation = std::make_shared<member_observation>(
        std::move(on_status), std::move(on_close));
    observation->start([this](auto* context, auto* reactor)
                       { m_stub->async()->Observe(context, reactor); });
    return observation;
}

void member_client::fence(endpoint::v1::FenceRequest const& request,
                          state::duration timeout,
                          result_handler<endpoint::v1::FenceReply> done)
{
    call<endpoint::v1::FenceRequest, endpoint::v1::FenceReply>(
        request, timeout, std::move(done),
        [this](auto* context, auto* sent, auto* reply, auto handler)
        { m_stub->async()->Fence(context, sent, reply, std::move(handler)); });
}

void member_client::promote(endpoint::v1::PromoteRequest const& request,
                            state::duration timeout,
                            result_handler<endpoint::v1::ChangeReply> done)
{
    call<endpoint::v1::PromoteRequest, endpoint::v1::ChangeReply>(
        request, timeout, std::move(done),
        [this](auto* context, auto* sent, auto* reply, auto handler) {
            m_stub->async()->Promote(context, sent, reply, std::move(handler));
        });
}

void member_client::follow(endpoint::v1::FollowRequest const& request,
                           state::duration timeout,
                           result_handler<endpoint::v1::ChangeReply> done)
{
    call<endpoint::v1::FollowRequest, endpoint::v1::ChangeReply>(
        request, timeout, std::move(done),
        [this](auto* context, auto* sent, auto* reply, auto handler)
        { m_stub->async()->Follow(context, sent, reply, std::move(handler)); });
}

} // namespace camphortide::transport
