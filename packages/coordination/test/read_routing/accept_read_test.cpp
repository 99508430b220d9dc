#include <doctest/doctest.h>

#include <camphortide/coordination/request/accept_read.hpp>

namespace state = camphortide::state;
using namespace camphortide::coordination;
using source = read_requirement::source;
using state::reason;

namespace
{

state::time_point at(int ms)
{
    return state::time_point(state::duration(ms));
}

state::log_position in_term_3(std::uint64_t index)
{
    return {state::term(3), index};
}
state::log_position in_term_7(std::uint64_t index)
{
    return {state::term(7), index};
}

/// A log with terms 3 and 7, starting at index 1 and 40; it ends at index 60
/// and is safe up to 55.
log_view log()
{
    return {state::term(7),
            {state::term(7), 60},
            state::term_history({{state::term(3), 1}, {state::term(7), 40}}),
            55};
}

/// Samples of the primary of term 7: index 40 at time 100, index 50 at 200.
freshness samples()
{
    freshness result(1);
    std::uint64_t probe = 0;
    for (auto const& [time, index] : {std::pair{100, 40}, {200, 50}})
    {
        result.note_probe_sent(++probe, at(time));
        state::member_status status;
        status.m_role = state::member_role::primary;
        status.m_granted = status.m_followed = state::term(7);
        status.m_received = {state::term(7), static_cast<std::uint64_t>(index)};
        status.m_probe = probe;
        result.note_status(status);
    }
    return result;
}

read_requirement make_requirement()
{
    read_requirement result;
    result.m_source = source::any;
    result.m_arrival = at(150);
    result.m_deadline = deadline(at(1000));
    return result;
}

} // namespace

TEST_CASE("a position is compared with the primary's log")
{
    struct
    {
        state::log_position m_position;
        position_status m_status;
    } const rows[]{
        {{state::term(0), 0}, position_status::safe},
        {{state::term(3), 39}, position_status::safe},
        {{state::term(3), 40}, position_status::absent},
        {{state::term(3), 70}, position_status::absent},
        {{state::term(5), 39}, position_status::absent},
        {{state::term(5), 90}, position_status::absent},
        {{state::term(7), 55}, position_status::safe},
        {{state::term(7), 56}, position_status::pending},
        {{state::term(7), 61}, position_status::pending},
        {{state::term(9), 30}, position_status::pending},
    };
    for (auto const& row : rows)
    {
        CAPTURE(row.m_position.m_term.value());
        CAPTURE(row.m_position.m_index);
        CHECK(status_in_log(row.m_position, log()) == row.m_status);
    }
    CHECK(status_in_log({state::term(3), 39}, log_view()) ==
          position_status::pending);
}

TEST_CASE("an answer is released only if it meets the consistency guarantees")
{
    using enum read_decision;
    using enum reason;
    struct
    {
        char const* m_what;
        state::log_position m_answer;
        std::optional<state::log_position> m_covered;
        std::optional<int> m_age;
        int m_now;
        read_decision m_decision;
        reason m_reason;
    } const rows[]{
        {"safe", in_term_7(55), {}, {}, 300, release, none},
        {"not safe yet", in_term_7(56), {}, {}, 300, hold, none},
        {"tail of a superseded log",
         in_term_3(45),
         {},
         {},
         300,
         retry,
         term_superseded},
        {"covers the token",
         in_term_7(50),
         in_term_7(50),
         {},
         300,
         release,
         none},
        {"covers an older term",
         in_term_7(50),
         in_term_3(39),
         {},
         300,
         release,
         none},
        {"behind the token",
         in_term_7(49),
         in_term_7(50),
         {},
         300,
         retry,
         no_replica},
        {"token in no log",
         in_term_7(55),
         in_term_3(45),
         {},
         300,
         drop,
         bad_token},
        {"token of a later primary",
         in_term_7(55),
         in_term_3(60),
         {},
         300,
         retry,
         no_replica},
        {"exactly the allowed age", in_term_7(50), {}, 101, 300, release, none},
        {"permanently too old", in_term_7(49), {}, 200, 300, retry, too_old},
        {"too old until the next sample",
         in_term_7(50),
         {},
         100,
         300,
         hold,
         too_old},
        {"before every sample", in_term_7(39), {}, 500, 300, retry, too_old},
        {"age zero, current", in_term_7(50), {}, 0, 300, release, none},
        {"age zero, too old", in_term_7(49), {}, 0, 300, retry, too_old},
        {"past the deadline",
         in_term_7(55),
         {},
         {},
         1000,
         drop,
         deadline_exceeded},
    };
    for (auto const& row : rows)
    {
        CAPTURE(row.m_what);
        auto requirement = make_requirement();
        requirement.m_covered = row.m_covered;
        if (row.m_age)
        {
            requirement.m_max_age = state::duration(*row.m_age);
        }
        auto const result = accept_read(row.m_answer, requirement, log(),
                                        samples(), at(row.m_now));
        CHECK(result.m_decision == row.m_decision);
        CHECK(result.m_reason == row.m_reason);
    }
}

TEST_CASE("the delivery time to the caller counts towards the age")
{
    auto requirement = make_requirement();
    requirement.m_max_age = state::duration(111);
    requirement.m_delivery_time = state::duration(10);
    state::log_position const answer{state::term(7), 50};
    auto const result =
        accept_read(answer, requirement, log(), samples(), at(300));
    CHECK(result.m_decision == read_decision::release);
    CHECK(result.m_age == state::duration(111));
    CHECK(accept_read(answer, requirement, log(), samples(), at(301))
              .m_decision == read_decision::hold);
}

TEST_CASE(
    "a read of a group missing from an incomplete token needs current data")
{
    state::session_token const token({}, false);
    auto const requirement = make_read_requirement(
        token, "loans", state::duration(60000), at(201), deadline(at(900)));
    CHECK(requirement.m_source == source::current_data);
    CHECK(accept_read({state::term(7), 55}, requirement, log(), samples(),
                      at(300))
              .m_decision == read_decision::hold);
}

TEST_CASE("the token and the allowed age determine where a read may be served")
{
    state::session_token const named({{"loans", {state::term(7), 50}}});
    auto const source_of = [](state::session_token const& token,
                              std::optional<state::duration> age)
    {
        return make_read_requirement(token, "loans", age, at(0),
                                     deadline(at(9)))
            .m_source;
    };
    CHECK(source_of(named, {}) == source::any);
    CHECK(source_of({}, {}) == source::primary);
    CHECK(source_of({}, state::duration(50)) == source::any);
    CHECK(source_of(state::session_token({}, false), {}) ==
          source::current_data);
}
