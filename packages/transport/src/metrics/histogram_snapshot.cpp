#include <algorithm>

#include <camphortide/transport/metrics/histogram_snapshot.hpp>

namespace camphortide::transport
{

double histogram_snapshot::mean() const
{
    return m_count == 0 ? 0 : m_sum / static_cast<double>(m_count);
}

double histogram_snapshot::quantile(double fraction) const
{
    auto const bounds = histogram_bounds();
    double const rank =
        std::clamp(fraction, 0.0, 1.0) * static_cast<double>(m_count);
    double below = 0;
    for (std::size_t i = 0; i < bounds.size(); ++i)
    {
        auto const count = static_cast<double>(m_buckets[i]);
        if (count > 0 && below + count >= rank)
        {
            double const low = i == 0 ? 0 : bounds[i - 1];
            double const within = (rank - below) / count;
            return std::min(low + (bounds[i] - low) * within, m_max);
        }
        below += count;
    }
    return m_max;
}

void histogram_snapshot::add(histogram_snapshot const& other)
{
    m_count += other.m_count;
    m_sum += other.m_sum;
    m_max = std::max(m_max, other.m_max);
    for (std::size_t i = 0; i < m_buckets.size(); ++i)
    {
        m_buckets[i] += other.m_buckets[i];
    }
}

} // namespace camphortide::transport
