#include <set>

#include <doctest/doctest.h>

#include <camphortide/coordination/limits/retry_hint.hpp>

namespace coordination = camphortide::coordination;
namespace state = camphortide::state;

TEST_CASE("retry hints are bounded and spread over time")
{
    std::set<state::duration> hints;
    for (std::uint64_t id = 1; id <= 100; ++id)
    {
        auto const hint =
            coordination::retry_hint(coordination::work(600000), id);
        CHECK(hint <= state::duration(6000));
        hints.insert(hint);
    }
    CHECK(hints.size() > 50);
    CHECK(coordination::retry_hint(coordination::work(0), 1) >=
          state::duration(10));
}
