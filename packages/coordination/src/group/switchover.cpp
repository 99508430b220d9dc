#include <utility>

#include <camphortide/coordination/group/switchover.hpp>

namespace camphortide::coordination
{

switchover::switchover(group_primary const& from, std::string target,
                       state::time_point deadline)
    : m_from(from.m_member),
      m_term(from.m_term),
      m_target(std::move(target)),
      m_deadline(deadline)
{
}

void switchover::drained(std::uint64_t next_probe)
{
    if (!m_probe)
    {
        m_probe = next_probe;
    }
}

std::optional<std::string> switchover::ready(group_view const& view) const
{
    auto const from = view.find(m_from);
    if (!m_probe || !from || view.statuses()[*from].m_probe < *m_probe)
    {
        return std::nullopt;
    }
    auto const last = view.statuses()[*from].m_received;
    for (auto const& status : view.statuses())
    {
        if (is_candidate(status) && status.m_granted == m_term &&
            status.m_received == last)
        {
            return status.m_member;
        }
    }
    return std::nullopt;
}

bool switchover::superseded(group_view const& view) const
{
    auto const primary = view.primary_index();
    return !primary || view.statuses()[*primary].m_granted != m_term;
}

bool switchover::is_candidate(state::member_status const& status) const
{
    return m_target.empty() ? status.m_member != m_from && !status.m_leaving
                            : status.m_member == m_target;
}

} // namespace camphortide::coordination
