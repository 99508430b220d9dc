#pragma once

#include <cstdint>

#include <camphortide/coordination/request/freshness.hpp>

namespace camphortide::coordination
{

/// Estimates how long after the primary a replica applies a record.
class apply_lag
{
public:
    /// Takes an applied index that the replica reported.
    void note_applied(std::uint64_t index, freshness const& samples,
                      state::time_point now);

    /// @return the mean lag, recent reports counting most; zero at first
    state::duration expected() const;

private:
    double m_mean = 0; ///< milliseconds
    std::uint64_t m_last = 0;
    bool m_known = false;
};

} // namespace camphortide::coordination
