#include "request_explorer.hpp"

#include <cstdlib>
#include <string>

#include <doctest/doctest.h>

using namespace camphortide::standin;
using rule = broken_request_rule;
using guarantee = request_guarantee;

namespace
{

constexpr std::uint64_t schedules = 3000;

std::uint64_t number_from_environment(char const* name,
                                      std::uint64_t default_value)
{
    auto const* const text = std::getenv(name);
    return text == nullptr ? default_value : std::strtoull(text, nullptr, 10);
}

/// @return the first seed whose schedule leads to the expected violation; 0 if
///     there is none
std::uint64_t first_detecting_seed(rule broken, guarantee expected)
{
    for (std::uint64_t seed = 1; seed <= schedules; ++seed)
    {
        if (request_explorer(seed, broken).run() == expected)
        {
            return seed;
        }
    }
    return 0;
}

} // namespace

TEST_CASE("no schedule violates a guarantee to callers")
{
    auto const first = number_from_environment("CAMPHORTIDE_SEED", 1);
    auto const last =
        first + number_from_environment("CAMPHORTIDE_SCHEDULES", schedules);
    std::size_t acknowledged_writes = 0;
    std::size_t not_executed_writes = 0;
    std::size_t released_reads = 0;
    for (auto seed = first; seed < last; ++seed)
    {
        request_explorer explorer(seed);
        auto const violation = explorer.run();
        REQUIRE_MESSAGE(violation == guarantee::none,
                        "seed " << seed << " violates guarantee "
                                << static_cast<int>(violation));
        acknowledged_writes += explorer.callers().acknowledged_writes();
        not_executed_writes += explorer.callers().not_executed_writes();
        released_reads += explorer.callers().released_reads();
    }
    MESSAGE((last - first) << " schedules: " << acknowledged_writes
                           << " acknowledged writes, " << not_executed_writes
                           << " not executed, " << released_reads
                           << " reads released");
    CHECK(acknowledged_writes > last - first);
    CHECK(not_executed_writes > last - first);
    CHECK(released_reads > last - first);
}

TEST_CASE("each broken rule leads to the expected violation in some schedule")
{
    struct
    {
        std::string m_name;
        rule m_rule;
        guarantee m_expected;
    } const rows[]{
        {"acknowledge_unsafe", rule::acknowledge_unsafe,
         guarantee::no_lost_writes},
        {"release_unsafe_reads", rule::release_unsafe_reads,
         guarantee::stable_reads},
        {"ignore_token", rule::ignore_token, guarantee::read_your_writes},
        {"sample_without_majority", rule::sample_without_majority,
         guarantee::age},
        {"resend_with_new_key", rule::resend_with_new_key,
         guarantee::at_most_once},
        {"report_unanswered_as_not_executed",
         rule::report_unanswered_as_not_executed, guarantee::not_executed},
        {"report_unsafe_barrier_as_not_executed",
         rule::report_unsafe_barrier_as_not_executed, guarantee::not_executed}};
    for (auto const& row : rows)
    {
        auto const seed = first_detecting_seed(row.m_rule, row.m_expected);
        CHECK_MESSAGE(seed > 0, row.m_name);
        MESSAGE(row.m_name << " is detected with seed " << seed);
    }
}
