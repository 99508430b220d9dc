#include <algorithm>
#include <set>
#include <vector>

#include <doctest/doctest.h>

#include <camphortide/load/driver/request_source.hpp>
#include <camphortide/transport/settings/deployment_file.hpp>

namespace load = camphortide::load;
namespace transport = camphortide::transport;

namespace
{

constexpr int drawn = 5000;

std::vector<load::planned_request> draw(std::uint64_t seed)
{
    auto const file =
        transport::read_deployment_file("examples/caxias-serrana.jsonc");
    REQUIRE(file.ok());
    load::request_source source(file.m_value, seed, "r");
    std::vector<load::planned_request> result;
    result.reserve(drawn);
    for (int count = 0; count < drawn; ++count)
    {
        result.push_back(source.next());
    }
    return result;
}

} // namespace

TEST_CASE("the same seed gives the same requests")
{
    CHECK(draw(7) == draw(7));
    CHECK(draw(7) != draw(8));
}

TEST_CASE("requests are ordered by time and arrive at the configured rates")
{
    auto const requests = draw(1);
    CHECK(std::ranges::is_sorted(requests, {},
                                 &load::planned_request::m_intended));
    // The deployment's traffic adds up to 555 requests a second.
    auto const end = requests.back().m_intended;
    CHECK(end > std::chrono::seconds(8));
    CHECK(end < std::chrono::seconds(10));
}

TEST_CASE(
    "every write has a unique statement, and every row belongs to one group")
{
    std::set<std::string> statements;
    std::map<std::string, std::string> group_of_row;
    for (auto const& request : draw(2))
    {
        auto const& first = request.m_statements.front();
        if (request.m_kind == transport::traffic_kind::write)
        {
            CHECK(statements.insert(first).second);
        }
        CHECK(first.find('{') == std::string::npos);
        if (first.starts_with("get "))
        {
            auto const known =
                group_of_row.try_emplace(first, request.m_group).first;
            CHECK(known->second == request.m_group);
        }
    }
}
