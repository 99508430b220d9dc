#include <doctest/doctest.h>

#include <camphortide/state/session_token.hpp>

using namespace camphortide::state;

TEST_CASE("merging keeps the greatest position of each group")
{
    session_token const left({{"a", {term(3), 10}}, {"b", {term(3), 4}}});
    session_token const right({{"c", {term(1), 1}}, {"a", {term(5), 12}}});
    session_token const both(
        {{"a", {term(5), 12}}, {"b", {term(3), 4}}, {"c", {term(1), 1}}});
    CHECK(left.merged(right) == both);
    CHECK(right.merged(left) == both);
}

TEST_CASE("a position never decreases")
{
    auto const token = session_token()
                           .advanced("a", {term(3), 10})
                           .advanced("a", {term(2), 9});
    CHECK(token.find("a") == log_position{term(3), 10});
    CHECK(token.find("b") == std::nullopt);
}

TEST_CASE("a token that leaves a group out is not complete")
{
    session_token token;
    for (std::size_t i = 0; i < session_token::max_groups; ++i)
    {
        token = token.advanced(std::to_string(i), {term(1), i + 1});
    }
    CHECK(token.complete());
    auto const truncated = token.advanced("z", {term(1), 1});
    CHECK(truncated.positions().size() == session_token::max_groups);
    CHECK(truncated.find("z") == std::nullopt);
    CHECK_FALSE(truncated.complete());
    CHECK_FALSE(truncated.merged(session_token()).complete());
}

TEST_CASE("a group whose name is too long is left out")
{
    std::string const name(session_token::max_group_name_bytes + 1, 'n');
    auto const token = session_token().advanced(name, {term(1), 1});
    CHECK(token.positions().empty());
    CHECK_FALSE(token.complete());
}
