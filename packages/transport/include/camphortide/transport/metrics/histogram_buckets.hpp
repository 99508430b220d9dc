#pragma once

#include <array>
#include <cstddef>
#include <span>

namespace camphortide::transport
{

/// Number of buckets of every histogram; the last one has no upper bound.
inline constexpr std::size_t histogram_bucket_count = 64;

/// The upper bounds of all buckets but the last, in milliseconds. They start at
/// 0.05 ms and grow by a factor of 1.25.
std::span<double const> histogram_bounds();

/// @return the index of the bucket for a value in milliseconds
std::size_t histogram_bucket(double value);

/// The number of samples in each bucket.
using histogram_counts = std::array<std::size_t, histogram_bucket_count>;

} // namespace camphortide::transport
