#include "connection_simulation.hpp"

#include <string>

#include <doctest/doctest.h>

using namespace camphortide::coordination;
using rule = broken_connection_rule;

namespace
{

constexpr std::uint64_t schedules = 3000;

/// @return the first seed whose schedule detects a broken rule; 0 if none does
std::uint64_t first_detected(rule broken, violation expected)
{
    for (std::uint64_t seed = 1; seed <= schedules; ++seed)
    {
        if (connection_simulation(seed, broken).run() == expected)
        {
            return seed;
        }
    }
    return 0;
}

} // namespace

TEST_CASE(
    "no schedule mixes statements, misdelivers answers or commits unexpectedly")
{
    std::size_t committed = 0;
    for (std::uint64_t seed = 1; seed <= schedules; ++seed)
    {
        connection_simulation simulation(seed, rule::none);
        auto const found = simulation.run();
        REQUIRE_MESSAGE(found == violation::none,
                        "seed " << seed << " breaks "
                                << static_cast<int>(found));
        committed += simulation.committed();
    }
    MESSAGE(schedules << " schedules: " << committed << " commits");
    CHECK(committed > schedules);
}

TEST_CASE("each broken rule is detected")
{
    struct
    {
        std::string m_name;
        rule m_rule;
        violation m_expected;
    } const rows[]{
        {"pool_with_answer_outstanding", rule::pool_with_answer_outstanding,
         violation::statements_mixed},
        {"pool_without_confirmation", rule::pool_without_confirmation,
         violation::statements_mixed},
        {"take_any_answer", rule::take_any_answer,
         violation::answer_misdelivered}};
    for (auto const& row : rows)
    {
        auto const seed = first_detected(row.m_rule, row.m_expected);
        CHECK_MESSAGE(seed > 0, row.m_name);
        MESSAGE(row.m_name << " is caught by seed " << seed);
    }
}
