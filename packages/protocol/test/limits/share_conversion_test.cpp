#include <utility>

#include <doctest/doctest.h>

#include <camphortide/protocol/share_conversion.hpp>

namespace coordination = camphortide::coordination;
namespace protocol = camphortide::protocol;
using coordination::share_kind;

namespace
{

void add_limit(coordination::share_ledger& ledger, share_kind kind,
               char const* name, std::int64_t limit)
{
    auto& added = ledger.m_limits.emplace_back();
    added.m_key.m_kind = kind;
    added.m_key.m_name = name;
    added.m_limit = limit;
    added.m_shares.push_back({{"a", 1}, 1, 9});
}

coordination::share_ledger sample()
{
    coordination::share_ledger ledger;
    ledger.m_limits_version = 7;
    ledger.m_last_retirement = 3;
    add_limit(ledger, share_kind::connections, "m1", 16);
    add_limit(ledger, share_kind::concurrency, "e", 4);
    add_limit(ledger, share_kind::rate, "e", 100000);
    ledger.m_limits[1].m_shares.push_back({{"b", 5}, 3, 8});
    ledger.m_retired.push_back({{"b", 5}, 3});
    return ledger;
}

} // namespace

TEST_CASE("a ledger is unchanged after encoding and decoding")
{
    CHECK(protocol::decode_share_ledger(protocol::encode(sample())) ==
          sample());
    CHECK(protocol::decode_share_ledger("") == coordination::share_ledger{});
}

TEST_CASE("a damaged ledger is rejected")
{
    CHECK_FALSE(protocol::decode_share_ledger("\x0f\xff damaged"));
    auto negative = sample();
    negative.m_limits[0].m_shares[0].m_amount = -1;
    CHECK_FALSE(protocol::decode_share_ledger(protocol::encode(negative)));
    auto unsorted = sample();
    std::swap(unsorted.m_limits[0], unsorted.m_limits[1]);
    CHECK_FALSE(protocol::decode_share_ledger(protocol::encode(unsorted)));
    auto unknown = sample();
    unknown.m_limits[0].m_key.m_kind = static_cast<share_kind>(9);
    CHECK_FALSE(protocol::decode_share_ledger(protocol::encode(unknown)));
}
