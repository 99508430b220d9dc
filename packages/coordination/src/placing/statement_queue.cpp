#include <algorithm>
#include <tuple>

#include <camphortide/coordination/placing/statement_queue.hpp>

namespace camphortide::coordination
{

void statement_queue::push(waiting_statement const& item)
{
    m_items.insert_or_assign(item.m_number, item);
}

bool statement_queue::erase(std::uint64_t number)
{
    return m_items.erase(number) != 0;
}

std::vector<waiting_statement>
statement_queue::in_order(state::time_point now) const
{
    std::vector<waiting_statement> items;
    items.reserve(m_items.size());
    for (auto const& entry : m_items)
    {
        items.push_back(entry.second);
    }
    auto const rank = [now](waiting_statement const& item)
    {
        bool const late = item.m_send_by <= now;
        return std::tuple(late, late ? item.m_priority : 0,
                          late ? item.m_arrived : item.m_send_by,
                          item.m_number);
    };
    std::sort(items.begin(), items.end(),
              [&](auto const& left, auto const& right)
              { return rank(left) < rank(right); });
    return items;
}

std::vector<waiting_statement>
statement_queue::take_expired(state::time_point now)
{
    std::vector<waiting_statement> expired;
    for (auto it = m_items.begin(); it != m_items.end();)
    {
        if (it->second.m_deadline <= now)
        {
            expired.push_back(it->second);
            it = m_items.erase(it);
        }
        else
        {
            ++it;
        }
    }
    return expired;
}

std::optional<state::time_point> statement_queue::next_expiry() const
{
    std::optional<state::time_point> next;
    for (auto const& entry : m_items)
    {
        if (!next || entry.second.m_deadline < *next)
        {
            next = entry.second.m_deadline;
        }
    }
    return next;
}

} // namespace camphortide::coordination
