#include <algorithm>
#include <tuple>
#include <utility>

#include <camphortide/coordination/group/promotion.hpp>

namespace camphortide::coordination
{

promotion::promotion(state::term term, std::string proposer,
                     promotion_preference preference, group_view const& view,
                     group_settings const& settings, state::time_point now)
    : m_term(term),
      m_proposer(std::move(proposer)),
      m_preference(std::move(preference)),
      m_settings(settings),
      m_grants(view.statuses().size()),
      m_deadline(now + settings.m_promotion_timeout),
      m_send_at(now)
{
}

void promotion::fence_replied(state::term term, bool granted,
                              state::member_status const& status,
                              group_view const& view)
{
    auto const member = view.find(status.m_member);
    if (m_stage != promotion_stage::fencing || term != m_term || !member)
    {
        return;
    }
    if (!granted || status.m_granted != m_term)
    {
        m_stage = promotion_stage::lost;
        return;
    }
    m_grants[*member] = {true, status.m_leaving, status.m_received};
}

void promotion::promote_replied(state::term term, bool done)
{
    if (m_stage != promotion_stage::promoting || term != m_term)
    {
        return;
    }
    m_stage = done ? promotion_stage::done : promotion_stage::lost;
}

void promotion::advance(group_view const& view, state::time_point now,
                        group_actions& out)
{
    if (!m_majority_at && has_majority(view, true))
    {
        m_majority_at = now;
    }
    if (m_stage == promotion_stage::fencing && may_choose(view, now))
    {
        choose(view, now);
    }
    auto const primary = view.primary_index();
    if (m_stage == promotion_stage::promoting && primary &&
        view.statuses()[*primary].m_granted >= m_term)
    {
        m_stage = promotion_stage::done;
    }
    bool const open = m_stage == promotion_stage::fencing ||
                      m_stage == promotion_stage::promoting;
    if (open && now >= m_deadline)
    {
        m_stage = promotion_stage::lost;
        return;
    }
    if (open && now >= m_send_at)
    {
        send(view, now, out);
    }
}

bool promotion::is_deprioritized(std::size_t member) const
{
    return m_grants[member].m_leaving || member == m_preference.m_deposed;
}

bool promotion::has_majority(group_view const& view,
                             bool include_deprioritized) const
{
    std::size_t count = 0;
    for (std::size_t member = 0; member < m_grants.size(); ++member)
    {
        bool const counts =
            m_grants[member].m_given &&
            (include_deprioritized || !is_deprioritized(member));
        count += counts ? 1U : 0U;
    }
    return count >= view.majority();
}

std::size_t promotion::best(group_view const& view) const
{
    bool const skip_deprioritized = has_majority(view, false);
    auto const rank = [&](std::size_t member)
    {
        auto const& held = m_grants[member];
        return std::tuple(
            held.m_given && !(skip_deprioritized && is_deprioritized(member)),
            held.m_received,
            view.statuses()[member].m_member == m_preference.m_preferred,
            !is_deprioritized(member));
    };
    std::size_t result = 0;
    for (std::size_t member = 1; member < m_grants.size(); ++member)
    {
        result = rank(member) > rank(result) ? member : result;
    }
    return result;
}

bool promotion::may_choose(group_view const& view, state::time_point now) const
{
    if (!m_majority_at)
    {
        return false;
    }
    if (now >= *m_majority_at + m_settings.m_gather ||
        std::ranges::all_of(m_grants, &grant::m_given))
    {
        return true;
    }
    return m_preference.m_preferred.empty()
               ? has_majority(view, false)
               : view.statuses()[best(view)].m_member ==
                     m_preference.m_preferred;
}

void promotion::choose(group_view const& view, state::time_point now)
{
    m_chosen = best(view);
    m_stage = promotion_stage::promoting;
    m_send_at = now;
}

void promotion::send(group_view const& view, state::time_point now,
                     group_actions& out)
{
    m_send_at = now + m_settings.m_retry_interval;
    auto const statuses = view.statuses();
    if (m_stage == promotion_stage::promoting)
    {
        out.emplace_back(
            send_promote{statuses[m_chosen].m_member, m_term, m_proposer});
        return;
    }
    for (std::size_t member = 0; member < statuses.size(); ++member)
    {
        if (!m_grants[member].m_given)
        {
            out.emplace_back(
                send_fence{statuses[member].m_member, m_term, m_proposer});
        }
    }
}

} // namespace camphortide::coordination
