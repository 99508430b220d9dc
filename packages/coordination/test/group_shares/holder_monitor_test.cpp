#include <array>

#include <doctest/doctest.h>

#include <camphortide/coordination/limits/holder_monitor.hpp>

using namespace camphortide::coordination;
namespace state = camphortide::state;

namespace
{

state::time_point at(int ms)
{
    return state::time_point(state::duration(ms));
}

share_ledger ledger_of(std::vector<holder_id> const& holders)
{
    share_ledger ledger;
    divided_limit limit;
    for (auto const& holder : holders)
    {
        limit.m_shares.push_back({holder, 1, 1});
    }
    ledger.m_limits.push_back(limit);
    return ledger;
}

state::instance_record record(std::uint64_t incarnation,
                              state::instance_state value)
{
    state::instance_record result;
    result.m_name = "b";
    result.m_incarnation = incarnation;
    result.m_state = value;
    return result;
}

struct monitor_case
{
    std::uint64_t m_incarnation; ///< shown in the view
    state::instance_state m_state;
    int m_elapsed_ms; ///< in that state
    bool m_gone;      ///< expected for the holder of incarnation 50000
};

} // namespace

TEST_CASE("a holder is gone with its process, not when it refutes a suspicion")
{
    using state::instance_state;
    std::array const cases{
        monitor_case{50000, instance_state::live, 99999, false},
        monitor_case{50003, instance_state::live, 99999, false},
        monitor_case{51000, instance_state::live, 0, true},
        monitor_case{50000, instance_state::suspected, 99999, false},
        monitor_case{50000, instance_state::gone, 0, true},
        monitor_case{50003, instance_state::gone, 0, true},
        monitor_case{40000, instance_state::gone, 99999, false},
        monitor_case{50000, instance_state::leaving, 19999, false},
        monitor_case{50000, instance_state::leaving, 20000, true},
    };
    int number = 0;
    for (auto const& each : cases)
    {
        CAPTURE(++number);
        holder_monitor monitor({"a", 60000}, state::duration(20000));
        monitor.set_view({record(each.m_incarnation, each.m_state)}, at(0));
        auto const gone =
            monitor.gone(ledger_of({{"b", 50000}}), at(each.m_elapsed_ms));
        CHECK((gone == std::vector<holder_id>{{"b", 50000}}) == each.m_gone);
        CHECK(gone.empty() != each.m_gone);
    }
}

TEST_CASE("earlier processes of an instance are gone, the own one's too")
{
    holder_monitor monitor({"a", 60000}, state::duration(20000));
    monitor.set_view({record(50000, state::instance_state::live)}, at(0));
    auto const ledger = ledger_of(
        {{"a", 59999}, {"a", 60000}, {"a", 60001}, {"b", 49990}, {"b", 50000}});
    CHECK(monitor.gone(ledger, at(0)) ==
          std::vector<holder_id>{{"a", 59999}, {"a", 60000}, {"b", 49990}});
}

TEST_CASE("an instance missing from a complete view is gone after a timeout")
{
    holder_monitor monitor({"a", 60000}, state::duration(20000));
    auto const ledger = ledger_of({{"c", 1}});
    monitor.set_view({}, at(0));
    CHECK(monitor.gone(ledger, at(99999)).empty());
    monitor.set_complete(true);
    CHECK(monitor.gone(ledger, at(120000)).empty());
    CHECK(monitor.gone(ledger, at(129999)).empty());
    CHECK(monitor.gone(ledger, at(130000)).size() == 1);
}
