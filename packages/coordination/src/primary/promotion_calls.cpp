#include <algorithm>

#include <camphortide/coordination/primary/promotion_calls.hpp>

namespace camphortide::coordination
{

void promotion_calls::sent(std::uint64_t token, state::time_point now)
{
    m_token = token;
    m_last_sent = now;
    ++m_outstanding;
}

void promotion_calls::finished(bool answered, state::time_point now)
{
    m_outstanding -= std::min<std::size_t>(m_outstanding, 1);
    if (!answered)
    {
        // This process may have been suspended since the request was sent.
        m_unanswered_until = std::max(
            {m_unanswered_until, m_last_sent + promotion_call_lifetime, now});
    }
}

bool promotion_calls::settled(state::time_point now) const
{
    return m_outstanding == 0 && now >= m_unanswered_until;
}

bool promotion_calls::allows(std::uint64_t token, state::time_point now) const
{
    return token == m_token || settled(now);
}

} // namespace camphortide::coordination
