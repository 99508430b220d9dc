#pragma once

#include "deployment.hpp"

#include <cstddef>
#include <cstdint>
#include <random>
#include <vector>

namespace camphortide::benchmark
{

/// The log of a simulated group and the progress of its members. Member 0 is
/// the primary; the lags of the others oscillate by 50 % around their means.
class group_log
{
public:
    static constexpr std::size_t members = 3;

    /// @param seconds duration of the simulation
    group_log(deployment const& parameters, lag_setting const& lag,
              double seconds, std::mt19937_64& random);

    /// @return the last index that a member has applied at a given time
    std::uint64_t applied(std::size_t member, double ms) const;

    /// @return the age in milliseconds, at a given time, of data that includes
    ///     the records up to an index; 0 if there are no newer records
    double age(std::uint64_t index, double ms) const;

    /// @return the write time of each record in milliseconds; record 1 is at
    ///     position 0
    std::vector<double> const& write_times() const { return m_write_times; }

private:
    double lag_at(std::size_t member, double ms) const;

    std::vector<double> m_write_times;
    double m_mean_lag[members];
};

} // namespace camphortide::benchmark
