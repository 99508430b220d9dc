#include <algorithm>

#include <camphortide/transport/metrics/histogram_buckets.hpp>

namespace camphortide::transport
{

namespace
{

constexpr double first_bound_ms = 0.05;
constexpr double growth = 1.25;
constexpr std::size_t bound_count = histogram_bucket_count - 1;

constexpr std::array<double, bound_count> make_bounds()
{
    std::array<double, bound_count> bounds{};
    double bound = first_bound_ms;
    for (auto& each : bounds)
    {
        each = bound;
        bound *= growth;
    }
    return bounds;
}

constexpr auto bounds = make_bounds();

} // namespace

std::span<double const> histogram_bounds()
{
    return bounds;
}

std::size_t histogram_bucket(double value)
{
    auto const found = std::lower_bound(bounds.begin(), bounds.end(), value);
    return static_cast<std::size_t>(found - bounds.begin());
}

} // namespace camphortide::transport
