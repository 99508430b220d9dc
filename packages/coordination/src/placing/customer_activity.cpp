#include <algorithm>
#include <cmath>

#include <camphortide/coordination/placing/customer_activity.hpp>

namespace camphortide::coordination
{

namespace
{

/// Time constant of the weights. A customer with one statement in 2 s has about
/// ten uses in it, enough to tell it from one with a tenth of that.
constexpr state::duration averaging_time{20000};
/// Customers with a lower count are removed: their last use was about five time
/// constants ago.
constexpr double min_count = 0.01;

} // namespace

double customer_activity::weighted_uses::at(state::time_point now) const
{
    auto const age = static_cast<double>((now - m_as_of).count()) /
                     static_cast<double>(averaging_time.count());
    return m_count * std::exp(-age);
}

void customer_activity::weighted_uses::add(state::time_point now)
{
    m_count = at(now) + 1;
    m_as_of = now;
}

void customer_activity::record_use(std::string const& customer,
                                   state::time_point now)
{
    m_uses[customer].add(now);
    m_total.add(now);
    remove_inactive(now);
}

void customer_activity::remove_inactive(state::time_point now)
{
    if (now - m_last_removal < averaging_time)
    {
        return;
    }
    m_last_removal = now;
    std::erase_if(m_uses, [now](auto const& entry)
                  { return entry.second.at(now) < min_count; });
}

double customer_activity::rate(std::string const& customer,
                               state::time_point now) const
{
    auto const it = m_uses.find(customer);
    auto const seconds = static_cast<double>(averaging_time.count()) / 1000;
    return it == m_uses.end() ? 0 : it->second.at(now) / seconds;
}

double customer_activity::rate_of_others(std::string const& customer,
                                         state::time_point now) const
{
    bool const has_others =
        m_uses.size() > (m_uses.contains(customer) ? 1U : 0U);
    if (!has_others)
    {
        return 0; // not the rounding error of the difference
    }
    auto const seconds = static_cast<double>(averaging_time.count()) / 1000;
    return std::max(m_total.at(now) / seconds - rate(customer, now), 0.0);
}

} // namespace camphortide::coordination
