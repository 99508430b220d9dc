#include <doctest/doctest.h>

#include <camphortide/coordination/placing/primary_positions.hpp>

namespace coordination = camphortide::coordination;
namespace state = camphortide::state;
using coordination::primary_positions;

namespace
{

state::time_point at(int ms)
{
    return state::time_point(state::duration(ms));
}

state::log_position position(std::uint64_t term, std::uint64_t index)
{
    return {state::term(term), index};
}

} // namespace

TEST_CASE("a position covers what was acknowledged before it was requested")
{
    primary_positions positions;
    positions.begin_term(3);
    CHECK_FALSE(positions.covering(at(0)).has_value());
    positions.note(position(3, 10), at(100));
    positions.note(position(3, 20), at(200));
    CHECK(positions.covering(at(50)) == position(3, 10));
    CHECK(positions.covering(at(100)) == position(3, 10));
    CHECK(positions.covering(at(101)) == position(3, 20));
    CHECK_FALSE(positions.covering(at(201)).has_value());
    CHECK(positions.reached_at(position(3, 15)) == at(200));
    CHECK_FALSE(positions.reached_at(position(3, 21)).has_value());
}

TEST_CASE("the same position at a later time covers later reads")
{
    primary_positions positions;
    positions.begin_term(3);
    positions.note(position(3, 10), at(100));
    positions.note(position(3, 10), at(500));
    CHECK(positions.covering(at(400)) == position(3, 10));
}

TEST_CASE("an answer that arrives out of order adds nothing")
{
    primary_positions positions;
    positions.begin_term(3);
    positions.note(position(3, 20), at(200));
    positions.note(position(3, 15), at(250));
    CHECK_FALSE(positions.covering(at(201)).has_value());
    positions.note(position(3, 25), at(150));
    CHECK(positions.covering(at(0)) == position(3, 20));
}

TEST_CASE("a new primary's log replaces the positions seen at the old one")
{
    primary_positions positions;
    positions.begin_term(3);
    positions.note(position(3, 20), at(200));
    positions.begin_term(4);
    CHECK_FALSE(positions.covering(at(0)).has_value());
    coordination::session_position const rolled_back{3, position(3, 20)};
    CHECK_FALSE(positions.current(rolled_back).has_value());
    // The new log ends before the record that the session wrote.
    positions.note(position(3, 18), at(300));
    CHECK(positions.current(rolled_back) == position(3, 18));
    coordination::session_position const own{4, position(4, 19)};
    CHECK(positions.current(own) == position(4, 19));
    positions.begin_term(3);
    CHECK(positions.term() == 4);
}

TEST_CASE("positions older than the maximum age are dropped")
{
    primary_positions positions;
    positions.begin_term(1);
    for (std::uint64_t i = 0; i < 100; ++i)
    {
        positions.note(position(1, 1 + i), at(static_cast<int>(i) * 1000));
    }
    CHECK(positions.covering(at(0))->m_index >= 89);
}
