#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include <camphortide/coordination/limits/admission.hpp>
#include <camphortide/coordination/limits/group_shares.hpp>

using namespace camphortide::coordination;
namespace state = camphortide::state;

namespace
{

constexpr state::duration step_interval{50};
constexpr int rate = 100;           ///< per second, over all homes
constexpr int offered_per_step = 8; ///< at each home
constexpr std::uint32_t slots = 1000;

/// One home: its shares and its admission.
struct rate_home
{
    explicit rate_home(holder_id const& self)
        : m_id(self),
          m_shares(self, share_timing{}, 0.3)
    {
        m_admission.set_capacity(slot_class::primary, slots,
                                 state::time_point{});
    }

    holder_id m_id;
    group_shares m_shares;
    admission m_admission;
};

/// Homes that are offered more requests than the limit, on a manual clock.
/// Their store answers at once, or fails calls while it is down.
class rate_simulation
{
public:
    rate_home& add(std::string const& name)
    {
        m_homes.push_back(
            std::make_unique<rate_home>(holder_id{name, ++m_incarnations}));
        entry_limits limits;
        limits.m_name = "e";
        limits.m_rate = rate;
        limits.m_queue_length = 0;
        m_homes.back()->m_shares.set_group(1, 2, {}, {&limits, 1});
        return *m_homes.back();
    }

    void kill(std::size_t at)
    {
        m_gone.push_back(m_homes[at]->m_id);
        m_homes.erase(m_homes.begin() + static_cast<std::ptrdiff_t>(at));
    }

    /// @return the number of admitted requests
    std::size_t run(int ms)
    {
        std::size_t admitted = 0;
        for (auto const end = m_now + state::duration(ms); m_now < end;)
        {
            m_now += step_interval;
            std::size_t now_admitted = 0;
            for (auto const& home : m_homes)
            {
                now_admitted += step(*home);
            }
            admitted += now_admitted;
            check_window(now_admitted);
        }
        return admitted;
    }

    bool m_store_down = false;

private:
    std::size_t step(rate_home& home)
    {
        auto& manager = home.m_shares.manager();
        manager.set_contact(m_now);
        manager.set_gone(m_gone);
        home.m_shares.observe("e", home.m_admission.load("e"), m_now);
        if (auto const call = manager.step(m_now))
        {
            serve(manager, *call);
        }
        auto const local_limits = home.m_shares.local_entries(m_now);
        home.m_admission.set_entries(local_limits, m_now);
        std::size_t admitted = 0;
        for (int i = 0; i < offered_per_step; ++i)
        {
            home.m_shares.arrived("e");
            auto const id = ++m_last_id;
            auto const decision = home.m_admission.submit(
                {id, "e", slot_class::primary, m_now + state::duration(1000),
                 std::nullopt, false},
                m_now);
            if (decision.m_result == admission_result::admitted)
            {
                admitted += 1;
                home.m_admission.finished(id, work(1), m_now);
            }
        }
        return admitted;
    }

    void serve(share_manager& manager, ledger_call const& call)
    {
        if (m_store_down)
        {
            manager.call_failed(call.m_number, m_now);
        }
        else if (!call.m_write)
        {
            manager.read_done(call.m_number, m_ledger, m_version, m_now);
        }
        else if (call.m_if_version != m_version)
        {
            manager.write_conflict(call.m_number, m_now);
        }
        else
        {
            m_ledger = call.m_ledger;
            m_version += 1;
            manager.write_done(call.m_number, m_version, m_now);
        }
    }

    /// Checks that no more is admitted in any ten seconds than the limit
    /// allows, plus one second of saved tokens and one request per started
    /// home.
    void check_window(std::size_t admitted)
    {
        constexpr std::size_t window = 10000 / step_interval.count();
        m_recent.push_back(admitted);
        m_sum += admitted;
        if (m_recent.size() > window)
        {
            m_sum -= m_recent.front();
            m_recent.pop_front();
        }
        CHECK(m_sum <= std::uint64_t{11} * rate + m_incarnations);
    }

    state::time_point m_now{};
    std::vector<std::unique_ptr<rate_home>> m_homes;
    std::vector<holder_id> m_gone;
    share_ledger m_ledger;
    std::uint64_t m_version = 0;
    std::uint64_t m_incarnations = 0;
    std::uint64_t m_last_id = 0;
    std::deque<std::size_t> m_recent;
    std::size_t m_sum = 0;
};

} // namespace

TEST_CASE(
    "the rate limit of an entry holds while a home is killed and replaced")
{
    rate_simulation simulation;
    simulation.add("a");
    simulation.add("b");
    simulation.run(20000);
    CHECK(simulation.run(10000) >= 95 * rate / 10);
    simulation.kill(0);
    simulation.add("c");
    CHECK(simulation.run(10000) >=
          4 * rate); // the remaining home keeps its part
    simulation.run(20000);
    CHECK(simulation.run(10000) >= 95 * rate / 10);
}

TEST_CASE("the rate limit of an entry holds while the store is down")
{
    rate_simulation simulation;
    simulation.add("a");
    simulation.add("b");
    simulation.run(20000);
    simulation.m_store_down = true;
    CHECK(simulation.run(30000) >= 285 * rate / 10);
    simulation.kill(1);
    simulation.add("c");
    CHECK(simulation.run(30000) >= 12 * rate);
    simulation.m_store_down = false;
    simulation.run(30000);
    CHECK(simulation.run(10000) >= 95 * rate / 10);
}
