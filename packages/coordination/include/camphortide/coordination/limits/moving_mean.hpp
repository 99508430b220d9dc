#pragma once

namespace camphortide::coordination
{

/// An exponentially weighted moving mean. The first samples have equal weights,
/// so that it converges quickly.
class moving_mean
{
public:
    /// @param min_weight the weight of a sample after many samples
    explicit moving_mean(double min_weight) : m_min_weight(min_weight) {}

    /// Adds a sample.
    void add(double sample)
    {
        m_weight = m_weight / (1 + m_weight);
        m_weight = m_weight < m_min_weight ? m_min_weight : m_weight;
        m_mean += (sample - m_mean) * m_weight;
        m_has_samples = true;
    }

    /// Removes all samples.
    void reset() { *this = moving_mean(m_min_weight); }

    /// @return the mean, or the fallback if there are no samples
    double value_or(double fallback) const
    {
        return m_has_samples ? m_mean : fallback;
    }

private:
    double m_min_weight;
    double m_weight = initial_weight;
    double m_mean = 0;
    bool m_has_samples = false;

    /// Makes the weight of the first sample 1, within rounding error.
    static constexpr double initial_weight = 1e9;
};

} // namespace camphortide::coordination
