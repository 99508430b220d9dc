#include "explorer.hpp"

#include <cstdlib>
#include <iostream>
#include <string>

#include <doctest/doctest.h>

namespace standin = camphortide::standin;
using standin::broken_rule;
using standin::promise;

namespace
{

#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr std::uint64_t schedules = 300;
#else
constexpr std::uint64_t schedules = 6000;
#endif
constexpr std::uint64_t broken_schedules = 6000;

/// A longer run: CAMPHORTIDE_SCHEDULES=100000. One seed again, with its
/// events: CAMPHORTIDE_SEED=17.
std::uint64_t number_from(char const* variable, std::uint64_t otherwise)
{
    char const* const text = std::getenv(variable);
    return text == nullptr ? otherwise : std::stoull(text);
}

void print_schedule(std::uint64_t seed)
{
    standin::explorer again(seed);
    again.trace();
    auto const found = again.run();
    std::cout << "schedule of seed " << seed << '\n';
    for (auto const& event : again.events())
    {
        std::cout << "  " << event << '\n';
    }
    std::cout << "  " << (found ? to_string(*found) : "kept") << '\n';
}

struct totals
{
    std::size_t m_acknowledged = 0;
    std::size_t m_released = 0;
    std::size_t m_primaries = 0;
};

std::uint64_t first_caught(broken_rule rule, promise expected)
{
    for (std::uint64_t seed = 1; seed <= broken_schedules; ++seed)
    {
        if (standin::explorer(seed, rule).run() == expected)
        {
            return seed;
        }
    }
    return 0;
}

} // namespace

TEST_CASE("every schedule keeps every promise")
{
    auto const last = number_from("CAMPHORTIDE_SCHEDULES", schedules);
    totals sum;
    for (std::uint64_t seed = 1; seed <= last; ++seed)
    {
        standin::explorer one(seed);
        auto const found = one.run();
        if (found)
        {
            print_schedule(seed);
        }
        REQUIRE_MESSAGE(!found,
                        "seed " << seed << " breaks " << to_string(*found));
        sum.m_acknowledged += one.checker().acknowledgements();
        sum.m_released += one.checker().releases();
        sum.m_primaries += one.checker().primaries();
    }
    MESSAGE(last << " schedules: " << sum.m_acknowledged
                 << " acknowledged writes, " << sum.m_released
                 << " released reads, " << sum.m_primaries << " primaries");
    CHECK(sum.m_acknowledged > last);
    CHECK(sum.m_released > last);
    CHECK(sum.m_primaries > last);
}

TEST_CASE("a seed runs the same way again")
{
    standin::explorer first(7);
    standin::explorer second(7);
    first.trace();
    second.trace();
    CHECK(first.run() == second.run());
    CHECK(first.events() == second.events());
}

TEST_CASE("each broken rule is caught")
{
    struct row
    {
        broken_rule m_rule;
        promise m_expected;
        std::string m_name;
    };
    row const table[] = {
        {broken_rule::acknowledge_unsafe, promise::nothing_lost,
         "acknowledge_unsafe"},
        {broken_rule::count_old_terms, promise::nothing_lost,
         "count_old_terms"},
        {broken_rule::promote_any, promise::nothing_lost, "promote_any"},
        {broken_rule::skip_fences, promise::nothing_lost, "skip_fences"},
        {broken_rule::promote_again, promise::one_primary, "promote_again"},
        {broken_rule::resend_without_key, promise::at_most_once,
         "resend_without_key"},
        {broken_rule::deny_unanswered, promise::not_executed,
         "deny_unanswered"},
        {broken_rule::release_unsafe_reads, promise::reads_stay,
         "release_unsafe_reads"},
        {broken_rule::ignore_token, promise::read_your_writes, "ignore_token"},
        {broken_rule::sample_alone, promise::age, "sample_alone"}};
    for (auto const& row : table)
    {
        auto const seed = first_caught(row.m_rule, row.m_expected);
        CHECK_MESSAGE(seed > 0, row.m_name);
        MESSAGE(row.m_name << " is caught by seed " << seed);
    }
}

TEST_CASE("a chosen seed prints its schedule")
{
    if (auto const seed = number_from("CAMPHORTIDE_SEED", 0))
    {
        print_schedule(seed);
    }
}
