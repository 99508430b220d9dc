#include <random>
#include <vector>

#include <doctest/doctest.h>

#include <camphortide/coordination/request/connection_pool.hpp>

namespace state = camphortide::state;
using namespace camphortide::coordination;
using kind = pool_action::kind;

namespace
{

state::time_point at(int ms)
{
    return state::time_point(state::duration(ms));
}

/// Performs the requested actions of the pool at once.
void settle(connection_pool& pool, state::time_point now)
{
    for (auto const& action : pool.step(now))
    {
        if (action.m_kind == kind::open)
        {
            pool.opened(action.m_connection, now);
        }
        else
        {
            pool.lost(action.m_connection, now);
        }
    }
}

connection_pool make_pool(std::size_t budget, pool_limits limits = {})
{
    connection_pool pool(limits);
    pool.set_budget(budget);
    settle(pool, at(0));
    return pool;
}

} // namespace

TEST_CASE("warm connections are opened before they are needed")
{
    auto pool = make_pool(16);
    CHECK(pool.idle() == 2);
    auto const first = pool.acquire(at(1));
    REQUIRE(first);
    settle(pool, at(1));
    CHECK(pool.idle() == 2);
    CHECK(pool.busy() == 1);
    pool.release(*first, at(2));
    CHECK(pool.idle() == 3);
    CHECK(pool.step(at(2)).empty());
}

TEST_CASE("a connection that is opening cannot be acquired")
{
    connection_pool pool({});
    pool.set_budget(16);
    auto const actions = pool.step(at(0));
    REQUIRE(actions.size() == 2);
    CHECK_FALSE(pool.acquire(at(0)));
    pool.opened(actions[0].m_connection, at(12));
    CHECK(pool.acquire(at(12)) == actions[0].m_connection);
    CHECK_FALSE(pool.acquire(at(12)));
}

TEST_CASE(
    "queued requests make the pool open more connections, within the budget")
{
    auto pool = make_pool(16);
    pool.set_waiting(30);
    settle(pool, at(1));
    CHECK(pool.held() == 16);
}

TEST_CASE("a lower budget closes idle connections first, busy ones on release")
{
    auto pool = make_pool(6, {.m_min_idle = 6});
    auto const one = *pool.acquire(at(1));
    auto const two = *pool.acquire(at(1));
    pool.set_budget(1);
    auto const actions = pool.step(at(2));
    CHECK(actions.size() == 4);
    CHECK(pool.held() == 6);
    for (auto const& action : actions)
    {
        CHECK(action.m_kind == kind::close);
        pool.lost(action.m_connection, at(3));
    }
    CHECK(pool.held() == 2);
    pool.release(one, at(4));
    settle(pool, at(4));
    CHECK(pool.held() == 1);
    pool.release(two, at(5));
    settle(pool, at(5));
    CHECK(pool.idle() == 1);
}

TEST_CASE("a closing connection counts until it is lost")
{
    auto pool = make_pool(2);
    auto const id = *pool.acquire(at(1));
    pool.abandon(id);
    auto const actions = pool.step(at(1));
    REQUIRE(actions.size() == 1);
    CHECK(actions[0] == pool_action{kind::close, id});
    CHECK(pool.held() == 2);
    CHECK(pool.step(at(2)).empty());
    pool.lost(id, at(3));
    REQUIRE(pool.step(at(3)).size() == 1);
}

TEST_CASE("an answer is accepted for the outstanding request only, and once")
{
    auto pool = make_pool(1, {.m_min_idle = 1});
    auto const id = *pool.acquire(at(1));
    auto const first = pool.next_request(id);
    CHECK(first != 0);
    CHECK(pool.next_request(id) == 0);
    CHECK_FALSE(pool.match_answer(id, first + 1));
    CHECK_FALSE(pool.match_answer({id.m_generation + 1}, first));
    CHECK(pool.match_answer(id, first));
    CHECK_FALSE(pool.match_answer(id, first));
    auto const second = pool.next_request(id);
    CHECK_FALSE(pool.match_answer(id, first));
    CHECK(pool.match_answer(id, second));
    CHECK_FALSE(pool.match_answer(id, 0));
}

TEST_CASE("a connection released with an outstanding answer is not reused")
{
    auto pool = make_pool(1, {.m_min_idle = 1});
    auto const id = *pool.acquire(at(1));
    auto const request = pool.next_request(id);
    pool.release(id, at(2));
    CHECK(pool.idle() == 0);
    CHECK_FALSE(pool.match_answer(id, request));
    settle(pool, at(3));
    settle(pool, at(3));
    auto const other = pool.acquire(at(4));
    REQUIRE(other);
    CHECK(*other != id);
    CHECK_FALSE(pool.match_answer(*other, request));
}

TEST_CASE("a replacement is opened before a connection reaches its maximum age")
{
    pool_limits limits{.m_min_idle = 1};
    limits.m_max_age = state::duration(1000);
    limits.m_replacement_lead = state::duration(100);
    auto pool = make_pool(4, limits);
    CHECK(pool.next_step() == at(900));
    CHECK(pool.step(at(899)).empty());
    auto const opens = pool.step(at(900));
    REQUIRE(opens.size() == 1);
    CHECK(opens[0].m_kind == kind::open);
    pool.opened(opens[0].m_connection, at(912));
    auto const closes = pool.step(at(1000));
    REQUIRE(closes.size() == 1);
    CHECK(closes[0].m_kind == kind::close);
    CHECK(pool.idle() == 1);
}

TEST_CASE("a connection is closed after its maximum number of uses")
{
    auto pool = make_pool(2, {.m_min_idle = 1, .m_max_uses = 2});
    auto const id = *pool.acquire(at(1));
    pool.release(id, at(1));
    CHECK(pool.acquire(at(1)) == id);
    pool.release(id, at(1));
    settle(pool, at(1));
    CHECK(pool.acquire(at(1)) != id);
}

TEST_CASE("failed openings are retried with growing backoff")
{
    connection_pool pool({.m_min_idle = 1});
    pool.set_budget(4);
    state::time_point now = at(0);
    state::duration last{};
    for (int i = 0; i < 12; ++i)
    {
        auto const actions = pool.step(now);
        REQUIRE(actions.size() == 1);
        pool.lost(actions[0].m_connection, now);
        CHECK(pool.step(now).empty());
        auto const next = *pool.next_step();
        CHECK(next - now >= last);
        CHECK(next - now <= pool_limits().m_max_retry_delay);
        last = next - now;
        now = next;
    }
    CHECK(last == pool_limits().m_max_retry_delay);
}

TEST_CASE("simultaneous failed openings count as one failure")
{
    connection_pool pool({.m_min_idle = 4});
    pool.set_budget(4);
    for (auto const& action : pool.step(at(0)))
    {
        pool.lost(action.m_connection, at(0));
    }
    CHECK(pool.next_step() == at(0) + pool_limits().m_retry_delay);
}

TEST_CASE("a connection is opened at once when the endpoint answers again")
{
    connection_pool pool({.m_min_idle = 1});
    pool.set_budget(4);
    auto now = at(0);
    for (int i = 0; i < 12; ++i)
    {
        pool.lost(pool.step(now).front().m_connection, now);
        now = *pool.next_step();
    }
    auto const back = now - state::duration(1);
    REQUIRE(pool.step(back).empty());
    pool.endpoint_recovered();
    auto const actions = pool.step(back);
    REQUIRE(actions.size() == 1);
    CHECK(actions.front().m_kind == kind::open);
    SUBCASE("and another failure starts with the minimum backoff")
    {
        pool.lost(actions.front().m_connection, back);
        CHECK(pool.next_step() == back + pool_limits().m_retry_delay);
    }
}

TEST_CASE("random events keep the pool within budget and its counts consistent")
{
    std::mt19937 random(7);
    connection_pool pool({.m_min_idle = 3, .m_max_uses = 9});
    std::vector<connection_id> opening;
    std::vector<connection_id> busy;
    std::vector<connection_id> closing;
    auto const take = [&](std::vector<connection_id>& from)
    {
        auto const place = random() % from.size();
        auto const id = from[place];
        from.erase(from.begin() + static_cast<std::ptrdiff_t>(place));
        return id;
    };
    std::size_t budget = 8;
    for (int i = 0; i < 20000; ++i)
    {
        auto const now = at(i);
        pool.set_budget(budget);
        switch (random() % 8)
        {
        case 0:
            budget = random() % 12;
            break;
        case 1:
            if (auto const id = pool.acquire(now))
            {
                busy.push_back(*id);
            }
            break;
        case 2:
            if (!busy.empty())
            {
                pool.release(take(busy), now);
            }
            break;
        case 3:
            if (!busy.empty())
            {
                pool.abandon(take(busy));
            }
            break;
        case 4:
        case 5:
            if (!opening.empty())
            {
                pool.opened(take(opening), now);
            }
            break;
        default:
            if (!closing.empty())
            {
                pool.lost(take(closing), now);
            }
        }
        auto const held_before = pool.held();
        for (auto const& action : pool.step(now))
        {
            auto const open = action.m_kind == kind::open;
            std::erase(opening, action.m_connection);
            (open ? opening : closing).push_back(action.m_connection);
        }
        REQUIRE(pool.held() <= std::max(held_before, pool.budget()));
        REQUIRE(pool.held() ==
                pool.idle() + pool.busy() + pool.opening() + pool.closing());
        REQUIRE(pool.busy() == busy.size());
        REQUIRE(pool.opening() == opening.size());
        REQUIRE(pool.closing() == closing.size());
    }
}

TEST_CASE("a provisional share opens one connection at a time, if the "
          "member has room")
{
    connection_pool pool(pool_limits{});
    pool.set_allowance({4, share_guarantee::provisional});
    CHECK(pool.step(at(0)).empty());
    pool.note_report(16, 16, at(10));
    CHECK(pool.step(at(20)).empty());
    pool.note_report(15, 16, at(30));
    auto const first = pool.step(at(40));
    REQUIRE(first.size() == 1);
    pool.opened(first.front().m_connection, at(50));
    CHECK(pool.step(at(60)).empty());
    pool.note_report(15, 16, at(60));
    CHECK(pool.step(at(70)).size() == 1);
}

TEST_CASE("a member that refused is retried after a pause")
{
    connection_pool pool(pool_limits{});
    pool.set_budget(1);
    pool.note_report(3, 16, at(0));
    auto const first = pool.step(at(0));
    REQUIRE(first.size() == 1);
    pool.lost(first.front().m_connection, at(10));
    pool.note_report(3, 16, at(200));
    CHECK(pool.step(at(259)).empty());
    CHECK(pool.step(at(260)).size() == 1);
}

TEST_CASE("a smaller share closes idle connections and counts them until lost")
{
    connection_pool pool(pool_limits{});
    pool.set_budget(2);
    for (auto const& action : pool.step(at(0)))
    {
        pool.opened(action.m_connection, at(10));
    }
    REQUIRE(pool.idle() == 2);
    pool.set_allowance({0, share_guarantee::exclusive});
    auto const closing = pool.step(at(20));
    CHECK(closing.size() == 2);
    CHECK(pool.held() == 2);
    for (auto const& action : closing)
    {
        pool.lost(action.m_connection, at(30));
    }
    CHECK(pool.held() == 0);
}
