#include <string>

#include <doctest/doctest.h>

#include <camphortide/coordination/group/group_view.hpp>

namespace state = camphortide::state;
using camphortide::coordination::group_view;
using camphortide::coordination::status_change;

namespace
{

constexpr state::time_point start{};

state::member_status status(std::string member, state::member_role role,
                            std::uint64_t granted, std::uint64_t followed,
                            state::log_position received,
                            std::uint64_t probe = 0)
{
    state::member_status result;
    result.m_member = std::move(member);
    result.m_role = role;
    result.m_granted = state::term(granted);
    result.m_followed = state::term(followed);
    result.m_received = received;
    result.m_probe = probe;
    return result;
}

constexpr auto primary = state::member_role::primary;
constexpr auto replica = state::member_role::replica;
constexpr auto fenced = state::member_role::fenced;

state::log_position at(std::uint64_t term, std::uint64_t index)
{
    return {state::term(term), index};
}

} // namespace

TEST_CASE("a status that is older than the stored one is discarded")
{
    struct row
    {
        state::member_status m_held;
        state::member_status m_next;
        status_change m_change;
    };
    row const rows[] = {
        {status("a", primary, 5, 5, at(5, 9)),
         status("a", primary, 5, 5, at(5, 8)), status_change::stale},
        {status("a", fenced, 6, 5, at(5, 9)),
         status("a", primary, 5, 5, at(5, 9)), status_change::stale},
        {status("a", replica, 6, 6, at(5, 7)),
         status("a", fenced, 6, 5, at(5, 9)), status_change::stale},
        {status("a", fenced, 5, 5, at(5, 9)),
         status("a", primary, 5, 5, at(5, 9)), status_change::stale},
        {status("a", primary, 5, 5, at(5, 9)),
         status("a", primary, 5, 5, at(5, 10)), status_change::progress},
        {status("a", replica, 6, 6, at(5, 9)),
         status("a", replica, 6, 6, at(5, 7)), status_change::progress},
        {status("a", primary, 5, 5, at(5, 9)),
         status("a", fenced, 5, 5, at(5, 9)), status_change::roles},
        {status("a", fenced, 6, 5, at(5, 9)),
         status("a", primary, 6, 6, at(6, 10)), status_change::roles}};
    for (auto const& row : rows)
    {
        group_view view({"a", "b", "c"});
        REQUIRE(view.note(row.m_held, start) == status_change::roles);
        CHECK(view.note(row.m_next, start) == row.m_change);
        auto const& expected =
            row.m_change == status_change::stale ? row.m_held : row.m_next;
        CHECK(view.statuses()[0] == expected);
    }
}

TEST_CASE("a status of a member that is not in the group is discarded")
{
    group_view view({"a"});
    CHECK(view.note(status("z", primary, 5, 5, at(5, 1)), start) ==
          status_change::stale);
    CHECK_FALSE(view.primary());
}

TEST_CASE("a primary counts until a majority grants a higher term")
{
    group_view view({"a", "b", "c"});
    view.note(status("a", primary, 5, 5, at(5, 9)), start);
    REQUIRE(view.primary());
    CHECK(view.primary()->m_member == "a");
    view.note(status("b", fenced, 7, 5, at(5, 9)), start);
    CHECK(view.primary());
    view.note(status("c", fenced, 7, 5, at(5, 9)), start);
    CHECK_FALSE(view.primary());
    view.note(status("c", primary, 7, 7, at(7, 10)), start);
    REQUIRE(view.primary());
    CHECK(view.primary()->m_member == "c");
}

TEST_CASE("a member that granted a higher term than its own is not primary")
{
    group_view view({"a", "b", "c"});
    view.note(status("a", primary, 6, 5, at(5, 9)), start);
    CHECK_FALSE(view.primary());
}

TEST_CASE("after a pause only answers to later probes count")
{
    constexpr state::duration age{100};
    group_view view({"a"});
    view.note(status("a", replica, 5, 5, at(5, 9), 3), start);
    CHECK(view.answers(0, start, age));
    CHECK_FALSE(view.answers(0, start + age + state::duration(1), age));
    view.restart_timeouts(start, 4);
    CHECK_FALSE(view.answers(0, start, age));
    view.note(status("a", replica, 5, 5, at(5, 9), 4), start);
    CHECK(view.answers(0, start, age));
    view.note_disconnected("a");
    CHECK_FALSE(view.answers(0, start, age));
}
