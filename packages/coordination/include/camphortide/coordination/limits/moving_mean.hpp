#pragma once

namespace camphortide::coordination
{

/// An exponentially weighted mean. The first samples count evenly, so that it
/// settles fast.
class moving_mean
{
public:
    /// @param min_weight the weight of a sample once many were seen
    explicit moving_mean(double min_weight) : m_min_weight(min_weight) {}

    /// Takes a sample.
    void add(double sample)
    {
        m_weight = m_weight / (1 + m_weight);
        m_weight = m_weight < m_min_weight ? m_min_weight : m_weight;
        m_mean += (sample - m_mean) * m_weight;
        m_has_samples = true;
    }

    /// Forgets the samples.
    void reset() { *this = moving_mean(m_min_weight); }

    /// @return the mean, or what is given if there is no sample
    double value_or(double fallback) const
    {
        return m_has_samples ? m_mean : fallback;
    }

private:
    double m_min_weight;
    double m_weight = initial_weight;
    double m_mean = 0;
    bool m_has_samples = false;

    /// Makes the weight of the first sample 1 within rounding.
    static constexpr double initial_weight = 1e9;
};

} // namespace camphortide::coordination
