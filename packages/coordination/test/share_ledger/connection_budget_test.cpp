#include <array>
#include <optional>

#include <doctest/doctest.h>

#include <camphortide/coordination/limits/connection_budget.hpp>

using namespace camphortide::coordination;
namespace state = camphortide::state;

namespace
{

state::time_point at(int ms)
{
    return state::time_point(state::duration(ms));
}

struct open_case
{
    share_guarantee m_guarantee;
    int m_open;
    int m_opening;
    std::optional<int> m_reported; ///< connections, of 16
    int m_requested_at;            ///< the last change is at 100
    bool m_may_open;               ///< expected at 500
};

} // namespace

TEST_CASE("a connection is opened within the share and the member's limit")
{
    constexpr auto exclusive = share_guarantee::exclusive;
    constexpr auto provisional = share_guarantee::provisional;
    std::array const cases{
        open_case{exclusive, 0, 0, std::nullopt, 0, true},
        open_case{exclusive, 3, 0, std::nullopt, 0, true},
        open_case{exclusive, 4, 0, std::nullopt, 0, false},
        open_case{exclusive, 2, 2, std::nullopt, 0, false},
        open_case{exclusive, 2, 1, 8, 200, true},
        open_case{exclusive, 2, 0, 16, 200, false},
        open_case{exclusive, 2, 0, 16, 50, true},
        open_case{provisional, 2, 0, std::nullopt, 0, false},
        open_case{provisional, 2, 0, 15, 200, true},
        open_case{provisional, 2, 0, 16, 200, false},
        open_case{provisional, 2, 0, 15, 50, false},
        open_case{provisional, 2, 1, 15, 200, false},
        open_case{provisional, 4, 0, 8, 200, false},
    };
    int number = 0;
    for (auto const& each : cases)
    {
        CAPTURE(++number);
        connection_budget budget;
        budget.set_allowance({4, each.m_guarantee});
        if (each.m_open > 0)
        {
            budget.note_change(at(100));
        }
        if (each.m_reported)
        {
            budget.note_report(*each.m_reported, 16, at(each.m_requested_at));
        }
        CHECK(budget.may_open(each.m_opening, each.m_open + each.m_opening,
                              at(500)) == each.m_may_open);
    }
}

TEST_CASE("an old report is ignored")
{
    connection_budget budget;
    budget.set_allowance({4, share_guarantee::provisional});
    budget.note_report(3, 16, at(100));
    CHECK(budget.may_open(0, 0, at(1100)));
    CHECK_FALSE(budget.may_open(0, 0, at(1101)));
    budget.note_report(16, 16, at(50));
    CHECK(budget.may_open(0, 0, at(1100)));
}

TEST_CASE("a refusal is followed by a pause")
{
    connection_budget budget;
    budget.set_allowance({2, share_guarantee::exclusive});
    budget.note_refusal(at(100));
    CHECK_FALSE(budget.may_open(0, 0, at(349)));
    CHECK(budget.may_open(0, 0, at(350)));
}
