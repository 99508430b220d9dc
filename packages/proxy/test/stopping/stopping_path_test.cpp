#include "../support/proxy_fixture.hpp"

#include <algorithm>
#include <memory>
#include <thread>
#include <vector>

#include <doctest/doctest.h>

namespace
{

using namespace tests;

constexpr int callers = 8;

/// How the session of a caller ended that sent one statement after the other.
enum class session_end
{
    refused,   ///< the last statement was refused as not executed
    closed,    ///< while no statement was outstanding
    unanswered ///< without an answer to the last statement
};

session_end use_until_end(text_client& caller)
{
    for (int number = 0;; ++number)
    {
        try
        {
            caller.send("QUERY s" + std::to_string(number) + " STORE a 1");
        }
        catch (boost::system::system_error const&)
        {
            return session_end::closed;
        }
        bool refused = false;
        std::string line;
        do
        {
            line = caller.line();
            refused = refused || line.starts_with("STMTERR BUSY");
        } while (!line.empty() && !line.starts_with("IDLE"));
        if (line.empty())
        {
            return session_end::unanswered;
        }
        if (refused)
        {
            return session_end::refused;
        }
    }
}

} // namespace

// Guards against statements that a stopping instance takes and cuts off.
TEST_CASE("a stopping instance answers sessions that are never idle, and tells "
          "them to leave")
{
    deployment all;
    auto instance =
        std::make_unique<running_instance>(all.m_platform.address(), 1);
    REQUIRE(instance->wait_writes());
    std::vector<std::unique_ptr<text_client>> clients;
    std::vector<session_end> ends(callers);
    std::vector<std::thread> threads;
    clients.reserve(callers);
    for (int i = 0; i < callers; ++i)
    {
        clients.push_back(instance->open());
    }
    for (std::size_t i = 0; i < callers; ++i)
    {
        threads.emplace_back([&, i] { ends[i] = use_until_end(*clients[i]); });
    }
    instance.reset(); // stops it
    for (auto& thread : threads)
    {
        thread.join();
    }
    CHECK(std::ranges::count(ends, session_end::unanswered) == 0);
    CHECK(std::ranges::count(ends, session_end::refused) == callers);
}
