#include <doctest/doctest.h>

#include <camphortide/state/term_history.hpp>

namespace state = camphortide::state;

TEST_CASE("the next term differs by proposer and is greater than the last")
{
    state::term const base(0);
    state::term const left = base.next(1);
    state::term const right = base.next(2);
    CHECK(left != right);
    CHECK(left > base);
    CHECK(left.next(1) > right);
}

TEST_CASE("a log holds a record only in the term that wrote its index")
{
    state::term const first(10);
    state::term const second(20);
    state::term_history const history({{first, 1}, {second, 5}});
    state::log_position const last{second, 8};
    CHECK(history.contains({first, 4}, last));
    CHECK(history.contains({second, 5}, last));
    CHECK_FALSE(history.contains({first, 5}, last));
    CHECK_FALSE(history.contains({second, 4}, last));
    CHECK_FALSE(history.contains({second, 9}, last));
}

TEST_CASE("records before the oldest start of the history count as held")
{
    state::term_history const history({{state::term(30), 100}});
    state::log_position const last{state::term(30), 120};
    CHECK(history.contains({state::term(10), 50}, last));
}
