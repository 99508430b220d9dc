#include <doctest/doctest.h>

#include <camphortide/coordination/request/apply_lag.hpp>
#include <camphortide/coordination/request/log_tracker.hpp>

namespace state = camphortide::state;
using namespace camphortide::coordination;
using state::member_role;

namespace
{

state::time_point at(int ms)
{
    return state::time_point(state::duration(ms));
}

state::member_status status(char const* member, member_role role,
                            std::uint64_t term, std::uint64_t index)
{
    state::member_status result;
    result.m_member = member;
    result.m_role = role;
    result.m_granted = result.m_followed = state::term(term);
    result.m_received = {state::term(term), index};
    result.m_history = state::term_history({{state::term(term), 1}});
    return result;
}

} // namespace

TEST_CASE("the view follows the primary of the highest term")
{
    log_tracker tracker(3);
    CHECK(tracker.note_status(status("a", member_role::primary, 3, 10)));
    CHECK(tracker.view().m_safe == 0);
    CHECK(tracker.note_status(status("b", member_role::replica, 3, 8)));
    CHECK(tracker.view().m_safe == 8);
    CHECK(tracker.note_status(status("c", member_role::primary, 7, 9)));
    CHECK(tracker.view().m_term == state::term(7));
    CHECK(tracker.view().m_last == state::log_position{state::term(7), 9});
    CHECK_FALSE(tracker.note_status(status("a", member_role::primary, 3, 99)));
    CHECK(tracker.view().m_term == state::term(7));
}

TEST_CASE("the safe index outlives the primary")
{
    log_tracker tracker(3);
    tracker.note_status(status("a", member_role::primary, 3, 10));
    tracker.note_status(status("b", member_role::replica, 3, 8));
    tracker.note_status(status("c", member_role::primary, 7, 9));
    CHECK(tracker.view().m_safe == 8);
    tracker.note_status(status("b", member_role::replica, 7, 9));
    CHECK(tracker.view().m_safe == 9);
}

TEST_CASE("a primary that granted a higher term is not followed")
{
    log_tracker tracker(3);
    auto fenced = status("a", member_role::primary, 3, 10);
    fenced.m_granted = state::term(7);
    CHECK_FALSE(tracker.note_status(fenced));
    CHECK(tracker.view() == log_view());
}

TEST_CASE("an old status of a member does not undo progress")
{
    log_tracker tracker(3);
    tracker.note_status(status("a", member_role::primary, 3, 10));
    tracker.note_status(status("b", member_role::replica, 3, 10));
    CHECK_FALSE(tracker.note_status(status("b", member_role::replica, 3, 4)));
    CHECK_FALSE(tracker.note_status(status("a", member_role::primary, 3, 5)));
    CHECK(tracker.view().m_safe == 10);
    CHECK(tracker.view().m_last.m_index == 10);
}

TEST_CASE("the lag is measured from the probe that found the index")
{
    freshness samples(1);
    apply_lag lag;
    for (int i = 1; i <= 20; ++i)
    {
        auto const number = static_cast<std::uint64_t>(i);
        samples.note_probe_sent(number, at(i * 10));
        auto primary = status("a", member_role::primary, 3, number);
        primary.m_probe = number;
        samples.note_status(primary);
    }
    CHECK(lag.expected() == state::duration(0));
    lag.note_applied(10, samples, at(150));
    CHECK(lag.expected() == state::duration(50));
    lag.note_applied(10, samples, at(900));
    CHECK(lag.expected() == state::duration(50));
    lag.note_applied(21, samples, at(900));
    CHECK(lag.expected() == state::duration(50));
    lag.note_applied(12, samples, at(270));
    CHECK(lag.expected() == state::duration(60));
}
