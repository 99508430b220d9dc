#include "guarantee_checks.hpp"

#include <algorithm>

#include <camphortide/load/checker/checker.hpp>

namespace camphortide::load
{

std::vector<guarantee_violation>
check_guarantees(run_observations const& observed)
{
    std::vector<guarantee_violation> violations;
    check_writes(observed, violations);
    check_answers(observed, violations);
    check_reads(observed, violations);
    check_fleet(observed, violations);
    return violations;
}

std::uint64_t
count_violations(std::vector<guarantee_violation> const& violations,
                 guarantee of)
{
    return static_cast<std::uint64_t>(
        std::ranges::count(violations, of, &guarantee_violation::m_guarantee));
}

} // namespace camphortide::load
