#pragma once

#include <array>
#include <cstddef>
#include <span>

namespace camphortide::transport
{

/// Number of buckets of every histogram; the last one has no upper bound.
inline constexpr std::size_t histogram_bucket_count = 64;

/// The upper bounds of all buckets but the last, in milliseconds: from 0.05 ms
/// on, each a quarter more than the one before.
std::span<double const> histogram_bounds();

/// @return the bucket that counts a value in milliseconds
std::size_t histogram_bucket(double value);

/// How many samples each bucket counted.
using histogram_counts = std::array<std::size_t, histogram_bucket_count>;

} // namespace camphortide::transport
