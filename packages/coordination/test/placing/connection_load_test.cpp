#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include <camphortide/coordination/placing/connection_assignment.hpp>
#include <camphortide/coordination/placing/customer_activity.hpp>

namespace coordination = camphortide::coordination;
namespace state = camphortide::state;
using coordination::connection_assignment;
using coordination::connection_phase;

namespace
{

/// Load of one home on one member.
struct member_load
{
    std::vector<double> m_rates; ///< statements per second, by customer
    std::size_t m_connections = 13;
    int m_seconds = 60;
    unsigned m_seed = 1;
};

struct load_result
{
    double m_own_share = 0;         ///< found an idle connection of its own
    double m_opened_per_second = 0; ///< connections
    int m_longest_wait = 0;         ///< ms until sent
    int m_sent = 0;
    int m_dropped = 0; ///< waited until their deadline
    std::map<std::size_t, int> m_longest_by_customer;
};

/// Simulates a member at which opening takes 12 ms and a statement 6 to 40 ms,
/// in steps of 1 ms. A statement must be sent within 100 ms and is dropped
/// after 2,500 ms. As in the statement queue, late ones are sent after the
/// others.
class load_simulation
{
public:
    explicit load_simulation(member_load load)
        : m_load(std::move(load)),
          m_random(m_load.m_seed),
          m_waiting(m_load.m_rates.size())
    {
    }

    load_result run()
    {
        for (m_now = 0; m_now < m_load.m_seconds * 1000; ++m_now)
        {
            finish();
            expire();
            arrive();
            send();
            assign();
        }
        m_result.m_own_share /= std::max(m_result.m_sent, 1);
        m_result.m_opened_per_second /= m_load.m_seconds;
        return m_result;
    }

private:
    struct connection
    {
        std::size_t m_customer = 0;
        connection_phase m_phase = connection_phase::opening;
        int m_until = 0;
        int m_last_used = 0;
        int m_opened = 0;
    };
    struct waiting
    {
        int m_arrived = 0;
        bool m_had_connection = false;
    };

    static constexpr int send_within = 100;
    static constexpr int drop_after = 2500;

    static state::time_point at(int ms)
    {
        return state::time_point(state::duration(ms));
    }

    bool has_idle(std::size_t customer) const
    {
        return std::ranges::any_of(m_connections,
                                   [&](auto const& each)
                                   {
                                       return each.m_customer == customer &&
                                              each.m_phase ==
                                                  connection_phase::idle;
                                   });
    }

    void finish()
    {
        std::erase_if(m_connections,
                      [this](auto const& each)
                      {
                          bool const close =
                              each.m_phase == connection_phase::in_use &&
                              each.m_until <= m_now && m_reclaim_count > 0 &&
                              m_reclaim.contains(
                                  std::to_string(each.m_customer));
                          m_reclaim_count -= close ? 1 : 0;
                          return close;
                      });
        for (auto& each : m_connections)
        {
            if (each.m_phase != connection_phase::idle && each.m_until <= m_now)
            {
                each.m_phase = connection_phase::idle;
                each.m_last_used = m_now;
            }
        }
    }

    void expire()
    {
        for (std::size_t index = 0; index < m_waiting.size(); ++index)
        {
            auto const dropped =
                std::erase_if(m_waiting[index], [this](auto const& each)
                              { return m_now - each.m_arrived >= drop_after; });
            m_result.m_dropped += static_cast<int>(dropped);
            if (dropped > 0)
            {
                m_result.m_longest_by_customer[index] = drop_after;
            }
        }
    }

    /// @return the statement of a queue that is sent next
    std::vector<waiting>::iterator next(std::vector<waiting>& queue) const
    {
        auto const in_time = std::ranges::find_if(
            queue, [this](auto const& each)
            { return m_now - each.m_arrived < send_within; });
        return in_time == queue.end() ? queue.begin() : in_time;
    }

    void arrive()
    {
        for (std::size_t index = 0; index < m_waiting.size(); ++index)
        {
            std::poisson_distribution<int> count(m_load.m_rates[index] / 1000);
            for (int left = count(m_random); left > 0; --left)
            {
                m_waiting[index].push_back({m_now, has_idle(index)});
            }
        }
    }

    void send()
    {
        std::uniform_int_distribution<int> use(6, 40);
        for (auto& each : m_connections)
        {
            auto& queue = m_waiting[each.m_customer];
            if (each.m_phase != connection_phase::idle || queue.empty())
            {
                continue;
            }
            auto const sent = next(queue);
            auto const wait = m_now - sent->m_arrived;
            ++m_result.m_sent;
            m_result.m_own_share += sent->m_had_connection ? 1 : 0;
            m_result.m_longest_wait = std::max(m_result.m_longest_wait, wait);
            auto& longest = m_result.m_longest_by_customer[each.m_customer];
            longest = std::max(longest, wait);
            queue.erase(sent);
            m_activity.record_use(std::to_string(each.m_customer), at(m_now));
            each.m_phase = connection_phase::in_use;
            each.m_until = m_now + use(m_random);
        }
    }

    void assign()
    {
        std::vector<coordination::connection_use> uses;
        for (auto const& each : m_connections)
        {
            auto const name = std::to_string(each.m_customer);
            uses.push_back({name, each.m_phase, at(each.m_last_used),
                            m_activity.rate(name, at(m_now)),
                            at(each.m_opened)});
        }
        connection_assignment::waiting_customers waiting_now;
        for (std::size_t index = 0; index < m_waiting.size(); ++index)
        {
            if (!m_waiting[index].empty())
            {
                auto const name = std::to_string(index);
                waiting_now[name] = {
                    m_waiting[index].size(),
                    at(next(m_waiting[index])->m_arrived + send_within),
                    m_activity.rate(name, at(m_now)),
                    m_activity.rate_of_others(name, at(m_now))};
            }
        }
        coordination::connection_limits limits;
        limits.m_connections = m_load.m_connections;
        auto changes =
            connection_assignment(uses, waiting_now, limits, at(m_now))
                .decide();
        apply(std::move(changes));
    }

    void apply(coordination::connection_changes changes)
    {
        std::ranges::sort(changes.m_close, std::greater{});
        for (auto const index : changes.m_close)
        {
            REQUIRE(m_connections[index].m_phase == connection_phase::idle);
            m_connections.erase(m_connections.begin() +
                                static_cast<std::ptrdiff_t>(index));
        }
        for (auto const& customer : changes.m_open)
        {
            m_result.m_opened_per_second += 1;
            m_connections.push_back({std::stoul(customer),
                                     connection_phase::opening, m_now + 12,
                                     m_now, m_now + 12});
        }
        m_reclaim = changes.m_reclaim;
        m_reclaim_count = changes.m_reclaim_count;
        REQUIRE(m_connections.size() <= m_load.m_connections);
    }

    member_load m_load;
    std::mt19937 m_random;
    int m_now = 0;
    std::vector<connection> m_connections;
    std::vector<std::vector<waiting>> m_waiting;
    std::set<std::string> m_reclaim;
    std::size_t m_reclaim_count = 0;
    coordination::customer_activity m_activity;
    load_result m_result;
};

constexpr std::size_t customers = 76;
constexpr double statements_per_second = 36;

std::vector<double> uniform()
{
    return std::vector<double>(customers, statements_per_second / customers);
}

std::vector<double> zipf()
{
    std::vector<double> rates;
    double sum = 0;
    for (std::size_t rank = 1; rank <= customers; ++rank)
    {
        rates.push_back(1.0 / static_cast<double>(rank));
        sum += rates.back();
    }
    for (auto& each : rates)
    {
        each *= statements_per_second / sum;
    }
    return rates;
}

/// Checks the results of several seeds.
void simulate(std::string const& name, std::vector<double> const& rates,
              std::function<void(load_result const&)> const& check)
{
    for (unsigned seed = 1; seed <= 3; ++seed)
    {
        CAPTURE(seed);
        member_load load;
        load.m_rates = rates;
        load.m_seed = seed;
        auto const result = load_simulation(std::move(load)).run();
        MESSAGE(name << ": own " << result.m_own_share << ", opened/s "
                     << result.m_opened_per_second << ", longest wait "
                     << result.m_longest_wait << " ms, sent " << result.m_sent
                     << ", dropped " << result.m_dropped);
        check(result);
    }
}

/// @return the longest wait of the customers from one on; that until the
///     deadline if a statement was dropped
int longest_wait_from(load_result const& result, std::size_t first)
{
    int longest = 0;
    for (auto const& [customer, wait] : result.m_longest_by_customer)
    {
        longest = customer < first ? longest : std::max(longest, wait);
    }
    return longest;
}

} // namespace

TEST_CASE("uniform load of 76 customers on 13 connections")
{
    // At most 13 of 76 customers can have a connection: 17% of the statements.
    simulate("uniform", uniform(),
             [](load_result const& result)
             {
                 CHECK(result.m_own_share > 0.14);
                 CHECK(result.m_opened_per_second < 32);
                 CHECK(result.m_longest_wait < 60);
             });
}

TEST_CASE("Zipf load of 76 customers on 13 connections")
{
    // The 13 largest customers send 65% of the statements. Some of these find
    // their connection in use.
    simulate("zipf", zipf(),
             [](load_result const& result)
             {
                 CHECK(result.m_own_share > 0.5);
                 CHECK(result.m_opened_per_second < 18);
                 CHECK(result.m_longest_wait < 60);
             });
}

TEST_CASE("one hot customer of 76 on 13 connections")
{
    // Guards against a hot customer that slows down the others.
    auto rates = zipf();
    rates[0] *= 7.5;
    simulate("hot", rates,
             [](load_result const& result)
             {
                 CHECK(result.m_own_share > 0.7);
                 CHECK(result.m_opened_per_second < 24);
                 CHECK(result.m_longest_wait < 60);
             });
}

TEST_CASE("a hot customer with an endless backlog starves no one")
{
    // 600 statements per second are more than 13 connections can run.
    auto rates = zipf();
    rates[0] = 600;
    simulate("endless", rates,
             [](load_result const& result)
             {
                 CHECK(longest_wait_from(result, 1) < 100); // in time
             });
}

TEST_CASE("more endless backlogs than connections starve no one")
{
    // Guards against customers with a backlog that keep all connections, and
    // against connections that they take from each other all the time. The
    // bound: the time by which a statement must be sent, the tenure, one use
    // and four openings.
    static constexpr int bound = 100 + 200 + 40 + 4 * 12;
    auto rates = uniform();
    std::fill_n(rates.begin(), 20, 60);
    simulate("backlogs", rates,
             [](load_result const& result)
             {
                 auto const others = longest_wait_from(result, 20);
                 CHECK(others < bound);
                 // 25 by the others, and one for each connection and tenure.
                 CHECK(result.m_opened_per_second < 25 + 65);
                 MESSAGE("longest wait of the others: " << others << " ms");
             });
}
