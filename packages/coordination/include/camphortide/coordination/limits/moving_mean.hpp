#pragma once

namespace camphortide::coordination
{

/// An exponentially weighted mean. The first samples count evenly, so that it
/// settles fast.
class moving_mean
{
public:
    /// @param least_weight the weight of a sample once many were seen
    explicit moving_mean(double least_weight) : m_least_weight(least_weight) {}

    /// Takes a sample.
    void add(double sample)
    {
        m_weight = m_weight / (1 + m_weight);
        m_weight = m_weight < m_least_weight ? m_least_weight : m_weight;
        m_mean += (sample - m_mean) * m_weight;
        m_known = true;
    }

    /// Forgets the samples.
    void reset() { *this = moving_mean(m_least_weight); }

    /// @return the mean, or what is given if there is no sample
    double value_or(double otherwise) const
    {
        return m_known ? m_mean : otherwise;
    }

private:
    double m_least_weight;
    double m_weight = unseen;
    double m_mean = 0;
    bool m_known = false;

    /// Makes the weight of the first sample 1 within rounding.
    static constexpr double unseen = 1e9;
};

} // namespace camphortide::coordination
