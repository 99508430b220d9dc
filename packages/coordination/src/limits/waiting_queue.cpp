#include <algorithm>

#include <camphortide/coordination/limits/waiting_queue.hpp>

namespace camphortide::coordination
{

waiting_queue::iterator waiting_queue::push(waiting_request const& item,
                                            state::time_point now)
{
    if (m_items.empty())
    {
        reset_time_per_work(now);
    }
    m_total += item.m_cost;
    return m_items.insert(m_items.end(), item);
}

waiting_request waiting_queue::serve_front(state::time_point now)
{
    auto const served = erase(m_items.begin());
    work const elapsed = now - m_last_service;
    if (served.m_cost > work::zero())
    {
        m_time_per_work.add(elapsed / served.m_cost);
    }
    m_last_service = now;
    return served;
}

waiting_request waiting_queue::erase(iterator item)
{
    auto const erased = *item;
    m_items.erase(item);
    m_total = m_items.empty() ? work::zero() : m_total - erased.m_cost;
    return erased;
}

void waiting_queue::reset_time_per_work(state::time_point now)
{
    m_time_per_work.reset();
    m_last_service = now;
}

work waiting_queue::time_to_serve(work amount) const
{
    return amount * m_time_per_work.value_or(0);
}

} // namespace camphortide::coordination
