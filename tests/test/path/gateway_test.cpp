#include <future>
#include <memory>
#include <thread>

#include <doctest/doctest.h>

#include <camphortide/standin/group/group_server.hpp>
#include <camphortide/transport/gateway/group_gateway.hpp>

namespace coordination = camphortide::coordination;
namespace standin = camphortide::standin;
namespace state = camphortide::state;
namespace transport = camphortide::transport;

namespace
{

constexpr state::duration deadline{10000};

/// A stand-in group, with its first member as primary, and a gateway to it.
class gateway_fixture
{
public:
    gateway_fixture() : m_group(options())
    {
        state::group_description description;
        description.m_name = "loans";
        description.m_slots = 2;
        for (auto const& name : options().m_members)
        {
            description.m_members.push_back(
                {name, m_group.address(name), "sede-centro", false});
        }
        m_gateway =
            std::make_shared<transport::group_gateway>(description, nullptr);
        m_gateway->start();
        coordination::entry_limits limits;
        limits.m_name = "desk";
        limits.m_customer = "library";
        m_gateway->with_shares([&limits](transport::share_control& shares)
                               { shares.set_fixed(4, {limits}); });
        m_gateway->set_primary(coordination::group_primary{
            "a", state::term(std::uint64_t{1} << state::term::tag_bits), {}});
    }

    ~gateway_fixture() { m_gateway->close(); }

    std::future<transport::group_reply> submit(transport::group_request request)
    {
        auto const promise =
            std::make_shared<std::promise<transport::group_reply>>();
        request.m_entry = "desk";
        request.m_group = "loans";
        request.m_deadline = state::clock::now() + deadline;
        m_gateway->submit(std::move(request),
                          [promise](transport::group_reply const& reply)
                          { promise->set_value(reply); });
        return promise->get_future();
    }

    transport::group_reply run(transport::group_request request)
    {
        auto future = submit(std::move(request));
        while (future.wait_for(std::chrono::milliseconds(5)) !=
               std::future_status::ready)
        {
            m_gateway->tick(state::clock::now());
        }
        return future.get();
    }

    /// Waits until the first member has a row.
    bool wait_for_row(std::string const& key)
    {
        auto const end = state::clock::now() + deadline;
        while (!m_group.rows("a").contains(key) && state::clock::now() < end)
        {
            m_gateway->tick(state::clock::now());
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
        return m_group.rows("a").contains(key);
    }

    void close() { m_gateway->close(); }

    transport::group_reply write(std::string const& statement,
                                 std::string const& key)
    {
        transport::group_request request;
        request.m_kind = transport::request_kind::write;
        request.m_statement = statement;
        request.m_key = key;
        return run(request);
    }

    transport::group_reply step(transport::request_kind kind,
                                std::string const& statement = {})
    {
        transport::group_request request;
        request.m_kind = kind;
        request.m_statement = statement;
        request.m_transaction = "t1";
        request.m_key = "library/t1";
        return run(request);
    }

    standin::group_server& group() { return m_group; }

private:
    static standin::group_options options()
    {
        standin::group_options result;
        result.m_name = "loans";
        result.m_members = {"a", "b", "c"};
        return result;
    }

    standin::group_server m_group;
    std::shared_ptr<transport::group_gateway> m_gateway;
};

} // namespace

TEST_CASE(
    "a write is acknowledged, and a replica that has applied it serves reads")
{
    gateway_fixture fixture;
    auto const written = fixture.write("set puzzle out", "library/1");
    REQUIRE(written.m_outcome == state::outcome::executed);
    CHECK(written.m_position.m_index > 0);

    transport::group_request read;
    read.m_statement = "get puzzle";
    read.m_token = state::session_token({{"loans", written.m_position}});
    // Every reply includes the write. The primary serves the reads until a
    // replica has reported the write.
    auto const end = state::clock::now() + deadline;
    auto answer = fixture.run(read);
    while (answer.m_outcome == state::outcome::executed &&
           !answer.m_from_replica && state::clock::now() < end)
    {
        CHECK(answer.m_result == "out");
        answer = fixture.run(read);
    }
    CHECK(answer.m_outcome == state::outcome::executed);
    CHECK(answer.m_result == "out");
    CHECK(answer.m_from_replica);
    CHECK(answer.m_position >= written.m_position);
}

TEST_CASE(
    "a repeated key returns the first result, another statement conflicts")
{
    gateway_fixture fixture;
    CHECK(fixture.write("add loans 1", "library/1").m_result == "1");
    auto const again = fixture.write("add loans 1", "library/1");
    CHECK(again.m_replayed);
    CHECK(again.m_result == "1");
    CHECK(fixture.write("add loans 2", "library/1").m_reason ==
          state::reason::key_conflict);
}

TEST_CASE("a transaction takes effect only at its commit")
{
    using transport::request_kind;
    gateway_fixture fixture;
    REQUIRE(fixture.step(request_kind::begin).m_outcome ==
            state::outcome::executed);
    CHECK(fixture.step(request_kind::execute, "set trike held").m_outcome ==
          state::outcome::executed);
    CHECK(fixture.group().rows("a").empty());
    auto const committed = fixture.step(request_kind::commit);
    CHECK(committed.m_outcome == state::outcome::executed);
    CHECK(committed.m_position.m_index > 0);
    CHECK(fixture.group().rows("a").at("trike") == "held");
    CHECK(fixture.step(request_kind::execute, "get trike").m_reason ==
          state::reason::transaction_lost);
}

TEST_CASE(
    "a request that may have run has an unknown outcome when its home closes")
{
    using transport::request_kind;
    for (auto const kind : {request_kind::write, request_kind::commit})
    {
        CAPTURE(static_cast<int>(kind));
        gateway_fixture fixture;
        transport::group_request request;
        request.m_kind = kind;
        request.m_statement = "set trike held";
        request.m_key = "library/t1";
        if (kind == request_kind::commit)
        {
            request.m_transaction = "t1";
            REQUIRE(fixture.step(request_kind::begin).m_outcome ==
                    state::outcome::executed);
            REQUIRE(fixture.step(request_kind::execute, request.m_statement)
                        .m_outcome == state::outcome::executed);
        }
        fixture.group().cut_from_members("a", true);
        auto reply = fixture.submit(std::move(request));
        REQUIRE(fixture.wait_for_row("trike"));
        fixture.close();
        REQUIRE(reply.wait_for(std::chrono::seconds(10)) ==
                std::future_status::ready);
        CHECK(reply.get().m_outcome == state::outcome::unknown);
    }
}

TEST_CASE("an outcome request bars a key that has not run")
{
    gateway_fixture fixture;
    transport::group_request request;
    request.m_kind = transport::request_kind::resolve;
    request.m_key = "library/late";
    auto const answer = fixture.run(request);
    CHECK(answer.m_outcome == state::outcome::not_executed);
    CHECK(answer.m_reason == state::reason::key_barred);
    auto const late = fixture.write("add loans 1", "library/late");
    CHECK(late.m_outcome == state::outcome::not_executed);
    CHECK(late.m_reason == state::reason::key_barred);
}
