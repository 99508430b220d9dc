#include <future>
#include <memory>
#include <thread>

#include <doctest/doctest.h>

#include <camphortide/standin/group/group_server.hpp>
#include <camphortide/transport/gateway/group_gateway.hpp>

namespace standin = camphortide::standin;
namespace state = camphortide::state;
namespace transport = camphortide::transport;

namespace
{

constexpr state::duration deadline{10000};

transport::group_reply run(transport::group_gateway& gateway,
                           transport::group_request request)
{
    std::promise<transport::group_reply> promise;
    request.m_deadline = state::clock::now() + deadline;
    gateway.submit(std::move(request), [&](transport::group_reply reply)
                   { promise.set_value(reply); });
    auto future = promise.get_future();
    while (future.wait_for(std::chrono::milliseconds(20)) !=
           std::future_status::ready)
    {
        gateway.tick(state::clock::now());
    }
    return future.get();
}

} // namespace

TEST_CASE("a write is acknowledged, and a replica that covers it serves a read")
{
    standin::group_options options;
    options.m_name = "loans";
    options.m_members = {"a", "b", "c"};
    standin::group_server group(options);
    std::vector<transport::member_address> members;
    for (auto const& name : options.m_members)
    {
        members.push_back({name, group.address(name)});
    }
    auto const gateway = std::make_shared<transport::group_gateway>(members, 2);
    gateway->tick(state::clock::now());

    transport::group_request write;
    write.m_kind = transport::request_kind::write;
    write.m_statement = "set puzzle out";
    write.m_key = "desk/1";
    auto const written = run(*gateway, write);
    REQUIRE(written.m_outcome == state::outcome::executed);
    CHECK(written.m_position.m_index > 0);

    transport::group_request read;
    read.m_statement = "get puzzle";
    read.m_required = written.m_position;
    auto const answer = run(*gateway, read);
    CHECK(answer.m_outcome == state::outcome::executed);
    CHECK(answer.m_result == "out");
    CHECK(answer.m_position >= written.m_position);
    gateway->close();
}
