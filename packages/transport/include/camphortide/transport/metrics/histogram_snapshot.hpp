#pragma once

#include <compare>
#include <cstdint>

#include <camphortide/transport/metrics/histogram_buckets.hpp>

namespace camphortide::transport
{

/// The contents of a histogram at one point in time, in milliseconds.
struct histogram_snapshot
{
    std::uint64_t m_count = 0;
    double m_sum = 0;
    double m_max = 0;
    histogram_counts m_buckets{};

    /// @return the mean in milliseconds; 0 without samples
    double mean() const;

    /// Estimates a quantile by linear interpolation within its bucket. The
    /// error is less than the width of the bucket, which is a quarter of the
    /// value.
    /// @param fraction the quantile, in [0, 1]
    /// @return the estimate in milliseconds; 0 without samples
    double quantile(double fraction) const;

    /// Adds the samples of another snapshot.
    void add(histogram_snapshot const& other);

    friend auto operator<=>(histogram_snapshot const&,
                            histogram_snapshot const&) = default;
};

} // namespace camphortide::transport
