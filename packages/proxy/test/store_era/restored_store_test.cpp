#include "../support/proxy_fixture.hpp"

#include <algorithm>
#include <map>
#include <set>

#include <doctest/doctest.h>

using tests::deployment;
using tests::running_instance;
using tests::wait_for;

namespace
{

/// Writes at an instance until it is stopped.
class writer
{
public:
    explicit writer(running_instance& instance)
        : m_instance(instance),
          m_thread([this] { run(); })
    {
    }

    /// @return the items whose writes were acknowledged
    std::set<std::string> stop()
    {
        m_stopped = true;
        m_thread.join();
        return m_acknowledged;
    }

private:
    void run()
    {
        std::unique_ptr<tests::text_client> session;
        for (int count = 0; !m_stopped; ++count)
        {
            if (!session)
            {
                session = m_instance.open();
            }
            std::string item = "w";
            item += std::to_string(count);
            std::string statement = "STORE ";
            statement.append(item).append(" x");
            try
            {
                if (session->outcome(statement) == "COMPLETE")
                {
                    m_acknowledged.insert(item);
                }
            }
            catch (std::exception const&)
            {
                session.reset(); // the instance ended the session
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
    }

    running_instance& m_instance;
    std::atomic<bool> m_stopped = false;
    std::set<std::string> m_acknowledged;
    std::thread m_thread;
};

/// Three instances, one of which is restarted while the primary is replaced
/// and the store comes back from an older copy.
class restored_deployment
{
public:
    restored_deployment()
    {
        for (int number = 1; number <= 3; ++number)
        {
            start(number);
        }
        for (auto const& each : m_instances)
        {
            REQUIRE(each.second->wait_writes());
        }
        REQUIRE(wait_for([this] { return m_fixture.duty_holder() != 0; }));
        m_stopped = m_fixture.duty_holder();
    }

    /// Stops the holder of the duty, replaces the primary, and lets the store
    /// come back from a copy that it made before.
    void lose_change_of_primary()
    {
        m_fixture.m_platform.keep_copy();
        m_instances.erase(m_stopped);
        // The revisions of the copy are far behind when it is restored.
        for (int version = 2; version < 30; ++version)
        {
            m_fixture.configure(version, "read_your_writes");
        }
        m_fixture.replace_primary();
        auto const entries = member_entries();
        m_fixture.m_platform.restore_copy();
        for (auto const& [member, entry] : entries)
        {
            m_fixture.m_platform.put("servers", member, entry);
        }
        m_fixture.configure(30, "read_your_writes");
    }

    /// Starts the former holder of the duty again, and waits until any lease
    /// of before has lapsed.
    void restart_former_holder()
    {
        start(m_stopped);
        std::this_thread::sleep_for(std::chrono::milliseconds(5000));
    }

    /// @return an instance that has run all the time
    running_instance& survivor()
    {
        return *std::ranges::find_if(m_instances, [this](auto const& each)
                                     { return each.first != m_stopped; })
                    ->second;
    }

    deployment& fixture() { return m_fixture; }

private:
    void start(int number)
    {
        m_instances[number] = std::make_unique<running_instance>(
            m_fixture.m_platform.address(), number);
    }

    std::map<std::string, std::string> member_entries() const
    {
        std::map<std::string, std::string> entries;
        for (auto const& member : m_fixture.m_group.members())
        {
            entries[member] = m_fixture.m_platform.get("servers", member);
        }
        return entries;
    }

    deployment m_fixture;
    std::map<int, std::unique_ptr<running_instance>> m_instances;
    int m_stopped = 0; ///< the holder of the duty, which is restarted
};

} // namespace

// Guards against a token of before a restore that another holder uses again.
TEST_CASE("each holder of the duty has its own token after a restored store")
{
    restored_deployment instances;
    instances.lose_change_of_primary();
    instances.restart_former_holder();
    instances.fixture().replace_primary();
    std::map<std::uint64_t, std::string> holders;
    for (auto const& call : instances.fixture().m_platform.promotion_calls())
    {
        CAPTURE(call.m_token);
        CHECK(holders.try_emplace(call.m_token, call.m_holder).first->second ==
              call.m_holder);
        CHECK(holders.rbegin()->first == call.m_token);
    }
    CHECK(instances.fixture().m_platform.promotion_calls().size() >= 2);
}

// Guards against a closing that closes nothing, as the permit is of before a
// restore.
TEST_CASE(
    "no write is committed at a primary that was replaced after a restore")
{
    restored_deployment instances;
    writer caller(instances.survivor());
    instances.lose_change_of_primary();
    instances.restart_former_holder();
    instances.fixture().replace_primary();
    std::this_thread::sleep_for(std::chrono::milliseconds(1500));
    auto const acknowledged = caller.stop();
    CHECK(acknowledged.size() > 20);
    auto const kept = instances.fixture().items_of_primary();
    auto const lost = std::ranges::count_if(acknowledged, [&](auto const& item)
                                            { return !kept.contains(item); });
    CHECK(lost == 0);
}
