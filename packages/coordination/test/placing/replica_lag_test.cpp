#include <algorithm>
#include <vector>

#include <doctest/doctest.h>

#include <camphortide/coordination/placing/member_choice.hpp>
#include <camphortide/coordination/placing/replica_lag.hpp>

namespace coordination = camphortide::coordination;
namespace state = camphortide::state;
using coordination::replica_lag;

namespace
{

constexpr int sweep_ms = 100;
constexpr int usual_lag_ms = 150;
constexpr int long_lag_ms = 6000;
/// The replica's lag is long between these times.
constexpr int lag_begins_ms = 3000;
constexpr int lag_ends_ms = 11000;

state::time_point at(int ms)
{
    return state::time_point(state::duration(ms));
}

state::log_position position(int index)
{
    return {state::term(1), static_cast<std::uint64_t>(std::max(index, 0))};
}

/// How a home reaches the members, and what its reads accept.
struct home_setup
{
    int m_primary_response_ms = 12; ///< of statements at the primary
    int m_max_staleness_ms = 1000;
    bool m_requests_possible = true; ///< a connection to the replica is idle
};

/// One home with reads every 15 ms, a primary whose log grows by one record
/// per ms, and a replica. A read that the replica can't run yet goes to the
/// primary.
class home_simulation
{
public:
    explicit home_simulation(home_setup setup) : m_setup(setup)
    {
        m_positions.begin_term(1);
    }

    void run_until(int end_ms)
    {
        for (; m_now < end_ms; ++m_now)
        {
            // An answer of the primary states the log's end on its way back.
            if (m_now % 15 == 0)
            {
                auto const sent = m_now - m_setup.m_primary_response_ms;
                m_positions.note(
                    position(m_now - m_setup.m_primary_response_ms / 2),
                    at(sent));
                read();
            }
            if (m_now % sweep_ms == 0 && m_lag.needs_request(at(m_now)))
            {
                m_requests += lags() ? 1 : 0;
                m_lag.record_request(at(m_now));
                if (m_setup.m_requests_possible)
                {
                    record_applied();
                }
            }
        }
    }

    int first_read_after_lag() const { return m_first_read_after_lag; }
    int refusals() const { return m_refusals; }
    int requests() const { return m_requests; }

private:
    bool lags() const { return m_now >= lag_begins_ms && m_now < lag_ends_ms; }

    /// @return the last record that the replica has applied
    int applied()
    {
        m_applied =
            std::max(m_applied, m_now - (lags() ? long_lag_ms : usual_lag_ms));
        return m_applied;
    }

    void read()
    {
        auto const required =
            m_positions.covering(at(m_now - m_setup.m_max_staleness_ms));
        if (!required)
        {
            return;
        }
        coordination::placement_requirements requirements;
        requirements.m_primary = false;
        requirements.m_required_position = required;
        requirements.m_required_reached_at = m_positions.reached_at(*required);
        std::vector<coordination::member_condition> members(1);
        members[0].m_lag = m_lag.value(at(m_now));
        members[0].m_applied = m_lag.applied();
        if (!coordination::choose_member(requirements, members, at(m_now))
                 .m_member)
        {
            return;
        }
        if (position(applied()) >= *required)
        {
            record_applied();
            if (m_now >= lag_ends_ms && m_first_read_after_lag < 0)
            {
                m_first_read_after_lag = m_now;
            }
            return;
        }
        m_refusals += lags() ? 1 : 0;
        m_lag.record_refusal(at(m_now) - *requirements.m_required_reached_at,
                             at(m_now));
    }

    void record_applied()
    {
        auto const reached = m_positions.reached_at(position(applied() + 1));
        m_lag.record_applied(
            position(applied()),
            reached ? at(m_now) - *reached : state::duration(0), at(m_now));
    }

    home_setup m_setup;
    coordination::primary_positions m_positions;
    replica_lag m_lag;
    int m_now = 0;
    int m_applied = 0;
    int m_first_read_after_lag = -1;
    int m_refusals = 0;
    int m_requests = 0;
};

} // namespace

// Guards against homes that keep reading at a far primary for many seconds
// after a lag, because the estimate falls slower than the replica recovers.
TEST_CASE("a replica receives reads again within 2 s after its lag ended")
{
    for (int const response_ms : {12, 70, 160})
    {
        for (int const staleness_ms : {500, 1000, 2500})
        {
            for (bool const possible : {true, false})
            {
                CAPTURE(response_ms);
                CAPTURE(staleness_ms);
                CAPTURE(possible);
                home_simulation home({response_ms, staleness_ms, possible});
                home.run_until(lag_ends_ms + 2000);
                CHECK(home.first_read_after_lag() >= lag_ends_ms);
            }
        }
    }
}

// Guards against a recovery that costs many statements while the lag lasts.
TEST_CASE("a lagging replica receives few requests and trial reads")
{
    for (bool const possible : {true, false})
    {
        CAPTURE(possible);
        home_simulation home({70, 1000, possible});
        home.run_until(lag_ends_ms);
        // The lag lasts 8 s: at most 4 requests per second, and 2 trial reads
        // per second if the requests aren't answered.
        CHECK(home.requests() <= 32);
        CHECK(home.refusals() <= 16);
    }
}

// Guards against a high estimate that hides a replica forever if no connection
// to it is idle or its answers are lost.
TEST_CASE("an estimate that nothing confirms decreases")
{
    replica_lag lag;
    lag.record_applied(position(1), state::duration(6000), at(0));
    CHECK_FALSE(lag.unconfirmed(at(400)));
    CHECK(lag.value(at(400)) == state::duration(6000));
    CHECK(lag.unconfirmed(at(600)));
    CHECK(lag.value(at(2000)) < state::duration(150));
}

// Guards against idle connections that are all taken by requests to a member
// that doesn't answer.
TEST_CASE("a request without an answer is repeated only after its timeout")
{
    replica_lag lag;
    lag.record_applied(position(1), state::duration(6000), at(0));
    CHECK_FALSE(lag.needs_request(at(200)));
    REQUIRE(lag.needs_request(at(300)));
    lag.record_request(at(300));
    CHECK_FALSE(lag.needs_request(at(400)));
    CHECK_FALSE(lag.needs_request(at(1200)));
    CHECK(lag.needs_request(at(1300)));
    lag.record_applied(position(2), state::duration(6000), at(1310));
    CHECK_FALSE(lag.needs_request(at(1400)));
    CHECK(lag.needs_request(at(1560)));
}

// Guards against a refusal with a small or unknown age that makes a replica
// with a long lag look current, so that all reads are sent to it at once.
TEST_CASE("a refusal doesn't lower the estimate")
{
    replica_lag lag;
    lag.record_applied(position(1), state::duration(6000), at(0));
    lag.record_refusal(state::duration(1), at(10));
    CHECK(lag.value(at(10)) >= state::duration(6000));
}

// Guards against an estimate that follows each short lag among the replies of a
// busy replica.
TEST_CASE("frequent replies lower the estimate gradually")
{
    replica_lag lag;
    lag.record_applied(position(1), state::duration(1000), at(0));
    lag.record_applied(position(2), state::duration(0), at(10));
    CHECK(lag.value(at(10)) == state::duration(800));
}
