#include "explorer.hpp"

#include <cstdlib>
#include <iostream>
#include <string>

#include <doctest/doctest.h>

namespace standin = camphortide::standin;
using standin::broken_rule;
using standin::guarantee;

namespace
{

#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr std::uint64_t schedules = 300;
#else
constexpr std::uint64_t schedules = 6000;
#endif
/// A broken rule is detected within this number of schedules, in every build.
constexpr std::uint64_t max_schedules_per_rule = 6000;

/// CAMPHORTIDE_SCHEDULES sets the number of schedules, e.g. 100000 for a longer
/// run. CAMPHORTIDE_SEED is a seed whose schedule is printed with its events.
std::uint64_t number_from_environment(char const* variable,
                                      std::uint64_t default_value)
{
    char const* const text = std::getenv(variable);
    return text == nullptr ? default_value : std::stoull(text);
}

void print_schedule(std::uint64_t seed)
{
    standin::explorer replay(seed);
    replay.trace();
    auto const found = replay.run();
    std::cout << "schedule of seed " << seed << '\n';
    for (auto const& event : replay.events())
    {
        std::cout << "  " << event << '\n';
    }
    std::cout << "  " << (found ? to_string(*found) : "no violation") << '\n';
}

struct totals
{
    std::size_t m_acknowledged = 0;
    std::size_t m_released = 0;
    std::size_t m_primaries = 0;
};

/// @return the first seed whose schedule leads to the expected violation; 0 if
///     there is none
std::uint64_t first_detecting_seed(broken_rule rule, guarantee expected)
{
    for (std::uint64_t seed = 1; seed <= max_schedules_per_rule; ++seed)
    {
        if (standin::explorer(seed, rule).run() == expected)
        {
            return seed;
        }
    }
    return 0;
}

} // namespace

TEST_CASE("no schedule violates a guarantee")
{
    auto const last =
        number_from_environment("CAMPHORTIDE_SCHEDULES", schedules);
    totals sum;
    for (std::uint64_t seed = 1; seed <= last; ++seed)
    {
        standin::explorer explorer(seed);
        auto const found = explorer.run();
        if (found)
        {
            print_schedule(seed);
        }
        REQUIRE_MESSAGE(!found,
                        "seed " << seed << " violates " << to_string(*found));
        sum.m_acknowledged += explorer.checker().acknowledged_writes();
        sum.m_released += explorer.checker().released_reads();
        sum.m_primaries += explorer.checker().primaries();
    }
    MESSAGE(last << " schedules: " << sum.m_acknowledged
                 << " acknowledged writes, " << sum.m_released
                 << " released reads, " << sum.m_primaries << " primaries");
    CHECK(sum.m_acknowledged > last);
    CHECK(sum.m_released > last);
    CHECK(sum.m_primaries > last);
}

TEST_CASE("the same seed repeats the same schedule")
{
    standin::explorer first(7);
    standin::explorer second(7);
    first.trace();
    second.trace();
    CHECK(first.run() == second.run());
    CHECK(first.events() == second.events());
}

TEST_CASE("each broken rule leads to the expected violation in some schedule")
{
    struct row
    {
        broken_rule m_rule;
        guarantee m_expected;
        std::string m_name;
    };
    row const table[] = {
        {broken_rule::acknowledge_unsafe, guarantee::no_lost_writes,
         "acknowledge_unsafe"},
        {broken_rule::count_copies_of_old_terms, guarantee::no_lost_writes,
         "count_copies_of_old_terms"},
        {broken_rule::ignore_log_positions, guarantee::no_lost_writes,
         "ignore_log_positions"},
        {broken_rule::skip_fences, guarantee::no_lost_writes, "skip_fences"},
        {broken_rule::promote_random_member, guarantee::one_primary,
         "promote_random_member"},
        {broken_rule::resend_with_new_key, guarantee::at_most_once,
         "resend_with_new_key"},
        {broken_rule::report_unanswered_as_not_executed,
         guarantee::not_executed, "report_unanswered_as_not_executed"},
        {broken_rule::release_unsafe_reads, guarantee::stable_reads,
         "release_unsafe_reads"},
        {broken_rule::ignore_token, guarantee::read_your_writes,
         "ignore_token"},
        {broken_rule::sample_without_majority, guarantee::age,
         "sample_without_majority"}};
    for (auto const& row : table)
    {
        auto const seed = first_detecting_seed(row.m_rule, row.m_expected);
        CHECK_MESSAGE(seed > 0, row.m_name);
        MESSAGE(row.m_name << " is detected with seed " << seed);
    }
}

TEST_CASE("CAMPHORTIDE_SEED prints the schedule of one seed")
{
    if (auto const seed = number_from_environment("CAMPHORTIDE_SEED", 0))
    {
        print_schedule(seed);
    }
}
