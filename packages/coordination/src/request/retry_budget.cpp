#include <algorithm>

#include <camphortide/coordination/request/retry_budget.hpp>

namespace camphortide::coordination
{

retry_budget::retry_budget(retry_limits limits)
    : m_limits(limits),
      m_available(limits.m_burst)
{
}

void retry_budget::note_request()
{
    m_available = std::min(m_limits.m_burst, m_available + m_limits.m_share);
}

bool retry_budget::take()
{
    if (m_available < 1.0)
    {
        return false;
    }
    m_available -= 1.0;
    return true;
}

} // namespace camphortide::coordination
