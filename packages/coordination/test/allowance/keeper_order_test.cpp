#include <string>

#include <doctest/doctest.h>

#include <camphortide/coordination/limits/keeper_order.hpp>

namespace coordination = camphortide::coordination;
using coordination::keeper_candidate;

namespace
{

std::vector<keeper_candidate> instances(int count)
{
    std::vector<keeper_candidate> result;
    result.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i)
    {
        result.push_back({{"edge-" + std::to_string(i), "address"}, 1});
    }
    return result;
}

} // namespace

TEST_CASE("a customer keeps its order while its keepers live")
{
    coordination::keeper_order order;
    CHECK_FALSE(order.set_instances(instances(60)));
    auto const before = order.of("north");
    REQUIRE(before.size() == coordination::keeper_order::size);
    auto fewer = instances(60);
    std::erase_if(fewer, [&](auto const& each)
                  { return each.m_home == before.front(); });
    CHECK(order.set_instances(fewer));
    CHECK(order.of("north")[0] == before[1]);
    CHECK(order.of("north")[1] == before[2]);
}

TEST_CASE("an instance with a new process counts as lost")
{
    coordination::keeper_order order;
    order.set_instances(instances(3));
    auto restarted = instances(3);
    restarted[1].m_start_time = 2;
    CHECK(order.set_instances(restarted));
    CHECK_FALSE(order.set_instances(restarted));
    CHECK_FALSE(order.set_instances(
        [&]
        {
            auto more = restarted;
            more.push_back({{"edge-9", "address"}, 5});
            return more;
        }()));
}

TEST_CASE("customers are spread over the instances")
{
    coordination::keeper_order order;
    order.set_instances(instances(60));
    std::map<std::string, int> customers;
    for (int i = 0; i < 600; ++i)
    {
        ++customers[order.of("customer-" + std::to_string(i))[0].m_name];
    }
    for (auto const& keeper : customers)
    {
        CAPTURE(keeper.first);
        CHECK(keeper.second < 30);
    }
}
