#include "request_explorer.hpp"

#include <cstdlib>
#include <string>

#include <doctest/doctest.h>

using namespace camphortide::standin;
using rule = broken_request_rule;
using promise = request_promise;

namespace
{

constexpr std::uint64_t schedules = 3000;

std::uint64_t number_from(char const* name, std::uint64_t otherwise)
{
    auto const* const text = std::getenv(name);
    return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

/// The first seed whose schedule catches a broken rule; 0 if none does.
std::uint64_t first_caught(rule broken, promise expected)
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

TEST_CASE("every schedule keeps the promises to callers")
{
    auto const first = number_from("CAMPHORTIDE_SEED", 1);
    auto const last = first + number_from("CAMPHORTIDE_SCHEDULES", schedules);
    std::size_t acknowledged = 0;
    std::size_t denied = 0;
    std::size_t released = 0;
    for (auto seed = first; seed < last; ++seed)
    {
        request_explorer one(seed);
        auto const broken = one.run();
        REQUIRE_MESSAGE(broken == promise::none,
                        "seed " << seed << " breaks promise "
                                << static_cast<int>(broken));
        acknowledged += one.callers().acknowledged();
        denied += one.callers().denied();
        released += one.callers().released();
    }
    MESSAGE((last - first) << " schedules: " << acknowledged
                           << " acknowledged, " << denied << " not executed, "
                           << released << " reads released");
    CHECK(acknowledged > last - first);
    CHECK(denied > last - first);
    CHECK(released > last - first);
}

TEST_CASE("each broken rule is caught")
{
    struct
    {
        std::string m_name;
        rule m_rule;
        promise m_expected;
    } const rows[]{
        {"acknowledge_unsafe", rule::acknowledge_unsafe, promise::nothing_lost},
        {"release_unsafe", rule::release_unsafe, promise::reads_stay},
        {"ignore_token", rule::ignore_token, promise::session},
        {"sample_alone", rule::sample_alone, promise::age},
        {"send_again", rule::send_again, promise::at_most_once},
        {"deny_unanswered", rule::deny_unanswered, promise::not_executed},
        {"deny_unsafe_barrier", rule::deny_unsafe_barrier,
         promise::not_executed}};
    for (auto const& row : rows)
    {
        auto const seed = first_caught(row.m_rule, row.m_expected);
        CHECK_MESSAGE(seed > 0, row.m_name);
        MESSAGE(row.m_name << " is caught by seed " << seed);
    }
}
