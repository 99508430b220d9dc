#include <array>
#include <vector>

#include <doctest/doctest.h>

#include <camphortide/coordination/limits/share_ledger.hpp>

using namespace camphortide::coordination;

namespace
{

struct target_case
{
    std::int64_t m_limit;
    std::vector<std::int64_t> m_wanted;
    std::vector<std::int64_t> m_targets;
};

share_ledger ledger_of(target_case const& from)
{
    divided_limit limit;
    limit.m_limit = from.m_limit;
    for (auto const wanted : from.m_wanted)
    {
        auto const name =
            std::string(1, static_cast<char>('a' + limit.m_shares.size()));
        limit.m_shares.push_back({{name, 1}, 0, wanted});
    }
    share_ledger ledger;
    ledger.m_limits.push_back(limit);
    return ledger;
}

} // namespace

TEST_CASE("target shares are fair and add up to the limit")
{
    std::array const cases{
        target_case{16, {16}, {16}},
        target_case{16, {0}, {16}},
        target_case{16, {16, 16}, {8, 8}},
        target_case{16, {2, 16}, {2, 14}},
        target_case{16, {2, 4}, {7, 9}},
        target_case{17, {20, 20}, {9, 8}},
        target_case{55, {20, 20, 20}, {19, 18, 18}},
        target_case{2, {5, 5, 5}, {1, 1, 0}},
        target_case{0, {5, 5}, {0, 0}},
        target_case{10, {0, 0, 0}, {4, 3, 3}},
    };
    for (auto const& each : cases)
    {
        auto const ledger = ledger_of(each);
        auto const& limit = ledger.m_limits.front();
        for (std::size_t i = 0; i < each.m_wanted.size(); ++i)
        {
            CHECK(target_share(ledger, limit, limit.m_shares[i].m_holder) ==
                  each.m_targets[i]);
        }
        CHECK(target_share(ledger, limit, {"z", 1}) == 0);
    }
}

TEST_CASE("a retired holder's share is not given to others")
{
    auto ledger = ledger_of({16, {16, 16}, {}});
    ledger.m_limits.front().m_shares[0].m_amount = 6;
    ledger.m_retired.push_back({{"a", 1}, 1});
    auto const& limit = ledger.m_limits.front();
    CHECK(target_share(ledger, limit, {"a", 1}) == 0);
    CHECK(target_share(ledger, limit, {"b", 1}) == 10);
}
