#include <string>

#include <doctest/doctest.h>

#include <camphortide/standin/member_model.hpp>

namespace standin = camphortide::standin;
namespace state = camphortide::state;

namespace
{

void copy_log(standin::member_model const& from, standin::member_model& to)
{
    std::uint64_t next_after = from.log().size();
    for (std::size_t round = 0; round < 100; ++round)
    {
        auto const message = from.replicate(next_after, 10);
        REQUIRE(message);
        auto const matched_index = to.receive(*message);
        REQUIRE(matched_index);
        next_after = *matched_index;
        if (next_after == from.log().size())
        {
            return;
        }
    }
}

} // namespace

TEST_CASE("a granted term is granted again only to the same proposer")
{
    standin::member_model member("a");
    CHECK(member.fence(state::term(5), "one"));
    CHECK(member.fence(state::term(5), "one"));
    CHECK_FALSE(member.fence(state::term(5), "two"));
    CHECK_FALSE(member.fence(state::term(4), "two"));
}

TEST_CASE("a fenced primary rejects writes of its old term")
{
    standin::member_model member("a");
    REQUIRE(member.fence(state::term(1), "one"));
    REQUIRE(member.promote(state::term(1), "one"));
    CHECK(member.write(state::term(1), "k", {"set x 1"}).m_code ==
          standin::statement_code::ok);
    REQUIRE(member.fence(state::term(2), "two"));
    CHECK(member.write(state::term(1), "l", {"set x 2"}).m_code ==
          standin::statement_code::not_primary);
}

TEST_CASE("a former primary removes records that were not replicated")
{
    standin::member_model old_primary("a");
    standin::member_model new_primary("b");
    REQUIRE(old_primary.fence(state::term(1), "one"));
    REQUIRE(old_primary.promote(state::term(1), "one"));
    old_primary.write(state::term(1), "k", {"set x 1"});
    copy_log(old_primary, new_primary);
    old_primary.write(state::term(1), "lost", {"set x 2"});
    REQUIRE(new_primary.fence(state::term(2), "two"));
    REQUIRE(new_primary.promote(state::term(2), "two"));
    new_primary.write(state::term(2), "m", {"set y 3"});
    copy_log(new_primary, old_primary);
    CHECK(old_primary.log() == new_primary.log());
    old_primary.apply_to(old_primary.log().size());
    CHECK(old_primary.rows() == new_primary.rows());
}

TEST_CASE("a key runs at most once and a barred key never")
{
    standin::member_model member("a");
    REQUIRE(member.fence(state::term(1), "one"));
    REQUIRE(member.promote(state::term(1), "one"));
    auto const first = member.write(state::term(1), "k", {"add x 1"});
    auto const again = member.write(state::term(1), "k", {"add x 1"});
    CHECK(again.m_replayed);
    CHECK(again.m_position == first.m_position);
    CHECK(member.rows().at("x") == "1");
    CHECK(member.resolve(state::term(1), "late").m_code ==
          standin::statement_code::key_barred);
    CHECK(member.write(state::term(1), "late", {"add x 1"}).m_code ==
          standin::statement_code::key_barred);
    CHECK(member.rows().at("x") == "1");
}

TEST_CASE("a write of which one statement fails has no effect")
{
    standin::member_model member("a");
    REQUIRE(member.fence(state::term(1), "one"));
    REQUIRE(member.promote(state::term(1), "one"));
    member.write(state::term(1), "", {"set x 1", "claim y 1"});
    auto const answer =
        member.write(state::term(1), "k", {"set x 2", "add z 1", "claim y 2"});
    CHECK(answer.m_code == standin::statement_code::failed);
    CHECK(member.rows() == standin::table{{"x", "1"}, {"y", "1"}});
    CHECK(member.write(state::term(1), "k", {"set x 3"}).m_result == "3");
}

TEST_CASE("a read does not change the table")
{
    standin::member_model member("a");
    CHECK(member.read("set x 1").m_code == standin::statement_code::failed);
    CHECK(member.rows().empty());
}

TEST_CASE("many conflicting records are removed in a few messages")
{
    constexpr int tail = 20'000;
    standin::member_model old_primary("a");
    standin::member_model new_primary("b");
    REQUIRE(old_primary.fence(state::term(1), "one"));
    REQUIRE(old_primary.promote(state::term(1), "one"));
    old_primary.write(state::term(1), "kept", {"set x 1"});
    copy_log(old_primary, new_primary);
    for (int write = 0; write < tail; ++write)
    {
        old_primary.write(state::term(1), std::to_string(write), {"add x 1"});
    }
    REQUIRE(new_primary.fence(state::term(2), "two"));
    REQUIRE(new_primary.promote(state::term(2), "two"));
    for (int write = 0; write < 2; ++write)
    {
        new_primary.write(state::term(2), std::to_string(write), {"add y 1"});
    }
    copy_log(new_primary, old_primary);
    old_primary.apply_to(old_primary.log().size());
    CHECK(old_primary.log() == new_primary.log());
    CHECK(old_primary.rows() == new_primary.rows());
    CHECK(old_primary.status().m_history == new_primary.status().m_history);
}
