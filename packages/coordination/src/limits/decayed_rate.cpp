#include <cmath>

#include <camphortide/coordination/limits/decayed_rate.hpp>

namespace camphortide::coordination
{

double decay(state::duration age, state::duration time_constant)
{
    return std::exp(-static_cast<double>(age.count()) /
                    static_cast<double>(time_constant.count()));
}

void decayed_rate::add(double count, state::time_point now)
{
    constexpr double ms_per_second = 1000.0;
    m_rate = per_second(now) + count * ms_per_second /
                                   static_cast<double>(m_time_constant.count());
    m_updated_at = now;
}

double decayed_rate::per_second(state::time_point now) const
{
    return m_rate * decay(now - m_updated_at, m_time_constant);
}

} // namespace camphortide::coordination
