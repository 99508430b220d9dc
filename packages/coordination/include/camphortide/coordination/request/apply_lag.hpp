#pragma once

#include <cstdint>

#include <camphortide/coordination/request/freshness.hpp>

namespace camphortide::coordination
{

/// Estimates the delay between a record's arrival at the primary and its
/// application at one replica.
class apply_lag
{
public:
    /// Records an applied index that the replica reported.
    /// @param index the last log index that the replica has applied
    /// @param samples the freshness samples of the group
    /// @param now when the report arrived
    void note_applied(std::uint64_t index, freshness const& samples,
                      state::time_point now);

    /// @return the exponentially weighted mean of the lag; zero before the
    ///     first report
    state::duration expected() const;

private:
    double m_mean = 0; ///< milliseconds
    std::uint64_t m_last = 0;
    bool m_known = false;
};

} // namespace camphortide::coordination
