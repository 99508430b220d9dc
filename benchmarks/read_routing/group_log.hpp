#pragma once

#include "deployment.hpp"

#include <cstddef>
#include <cstdint>
#include <random>
#include <vector>

namespace camphortide::benchmark
{

/// What the members of a simulated group have applied at any time. Member 0
/// is the primary; the lags of the others swing by half around their means.
class group_log
{
public:
    static constexpr std::size_t members = 3;

    /// @param seconds the length of the run
    group_log(deployment const& parameters, lag_setting const& lag,
              double seconds, std::mt19937_64& random);

    /// @return the last index that a member has applied at a time
    std::uint64_t applied(std::size_t member, double ms) const;

    /// @return the age of the data up to an index at a time, in milliseconds
    double age(std::uint64_t index, double ms) const;

    /// @return the time of each record, the first at 0
    std::vector<double> const& write_times() const { return m_write_times; }

private:
    double lag_at(std::size_t member, double ms) const;

    std::vector<double> m_write_times;
    double m_mean_lag[members];
};

} // namespace camphortide::benchmark
