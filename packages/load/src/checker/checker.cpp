#include "promise_checks.hpp"

#include <algorithm>

#include <camphortide/load/checker/checker.hpp>

namespace camphortide::load
{

std::vector<promise_break> check_promises(run_facts const& facts)
{
    std::vector<promise_break> breaks;
    check_writes(facts, breaks);
    check_answers(facts, breaks);
    check_reads(facts, breaks);
    check_fleet(facts, breaks);
    return breaks;
}

std::uint64_t count_breaks(std::vector<promise_break> const& breaks, promise of)
{
    return static_cast<std::uint64_t>(
        std::ranges::count(breaks, of, &promise_break::m_promise));
}

} // namespace camphortide::load
