#pragma once

#include <compare>
#include <cstdint>

#include <camphortide/transport/metrics/histogram_buckets.hpp>

namespace camphortide::transport
{

/// What a histogram held at one time; in milliseconds.
struct histogram_snapshot
{
    std::uint64_t m_count = 0;
    double m_sum = 0;
    double m_max = 0;
    histogram_counts m_buckets{};

    /// @return the mean; 0 without samples
    double mean() const;

    /// Estimates a quantile by interpolation in its bucket; off by less than
    /// the bucket's width, a quarter of the value.
    /// @param part in [0, 1]
    /// @return the estimate; 0 without samples
    double quantile(double fraction) const;

    /// Adds the samples of another one.
    void add(histogram_snapshot const& other);

    friend auto operator<=>(histogram_snapshot const&,
                            histogram_snapshot const&) = default;
};

} // namespace camphortide::transport
