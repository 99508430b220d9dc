#include <algorithm>
#include <utility>

#include <camphortide/coordination/group/group_monitor.hpp>
#include <camphortide/coordination/group/group_monitor_builder.hpp>

namespace camphortide::coordination
{

group_monitor::group_monitor(group_monitor_builder const& builder)
    : m_settings(builder.m_settings),
      m_proposer(builder.m_proposer),
      m_tag(builder.m_tag),
      m_view(builder.m_members),
      m_detector(builder.m_settings, builder.m_seed),
      m_jitter(~builder.m_seed),
      m_probe_interval(builder.m_settings.m_probe_interval)
{
}

group_actions group_monitor::status_received(state::member_status const& status,
                                             state::time_point now)
{
    group_actions out;
    begin_input(now);
    note(status, now, out);
    return out;
}

group_actions group_monitor::member_unreachable(std::string_view member,
                                                state::time_point now)
{
    group_actions out;
    begin_input(now);
    m_view.note_disconnected(member);
    m_probe_at = std::min(m_probe_at, now + m_settings.m_fast_probe_interval);
    return out;
}

group_actions group_monitor::fence_replied(state::term term, bool granted,
                                           state::member_status const& status,
                                           state::time_point now)
{
    group_actions out;
    begin_input(now);
    if (m_promotion)
    {
        m_promotion->fence_replied(term, granted, status, m_view);
    }
    note(status, now, out);
    evaluate(now, out);
    return out;
}

group_actions group_monitor::promote_replied(state::term term, bool done,
                                             state::member_status const& status,
                                             state::time_point now)
{
    group_actions out;
    begin_input(now);
    if (m_promotion)
    {
        m_promotion->promote_replied(term, done);
    }
    note(status, now, out);
    evaluate(now, out);
    return out;
}

group_actions group_monitor::follow_replied(state::member_status const& status,
                                            state::time_point now)
{
    return status_received(status, now);
}

group_actions group_monitor::tick(state::time_point now)
{
    group_actions out;
    begin_input(now);
    evaluate(now, out);
    detect(now, out);
    start_required_switchover(now, out);
    send_follow_requests(now, out);
    probe(now, out);
    return out;
}

group_actions group_monitor::set_probe_interval(state::duration interval,
                                                state::time_point now)
{
    group_actions out;
    begin_input(now);
    auto const min_interval =
        std::min(m_settings.m_min_probe_interval, m_settings.m_probe_interval);
    m_probe_interval =
        std::clamp(interval, min_interval, m_settings.m_probe_interval);
    m_probe_at = std::min(m_probe_at, m_probed_at + m_probe_interval);
    probe(now, out);
    return out;
}

group_actions group_monitor::request_switchover(std::string_view target,
                                                state::time_point now)
{
    group_actions out;
    begin_input(now);
    auto const refuse = [&](switchover_result result)
    {
        out.emplace_back(switchover_ended{
            result, m_announced ? m_announced->m_member : std::string()});
    };
    if (!target.empty() && !m_view.find(target))
    {
        refuse(switchover_result::unknown_member);
    }
    else if (m_promotion || m_switchover)
    {
        refuse(switchover_result::busy);
    }
    else if (!m_announced)
    {
        refuse(switchover_result::no_primary);
    }
    else
    {
        start_switchover(std::string(target), now, out);
    }
    return out;
}

group_actions group_monitor::cancel_switchover(state::time_point now)
{
    group_actions out;
    begin_input(now);
    if (m_switchover && !m_promotion)
    {
        end_switchover(switchover_result::cancelled, out);
    }
    return out;
}

group_actions group_monitor::writes_drained(state::time_point now)
{
    group_actions out;
    begin_input(now);
    if (m_switchover && !m_switchover->is_drained())
    {
        m_switchover->drained(m_probe + 1);
        m_probe_at = now;
        probe(now, out);
    }
    return out;
}

primary_health group_monitor::assess_primary(state::time_point now) const
{
    return m_detector.assess(m_view, now);
}

void group_monitor::begin_input(state::time_point now)
{
    bool const paused =
        !m_last_input || now - *m_last_input > m_settings.m_pause_limit;
    m_last_input = now;
    if (!paused)
    {
        return;
    }
    m_view.restart_timeouts(now, m_probe + 1);
    m_detector.restart();
    m_probe_at = now;
    m_switchover_at.reset();
    if (m_promotion)
    {
        m_promotion.reset();
        m_detector.back_off(now);
    }
}

void group_monitor::note(state::member_status const& status,
                         state::time_point now, group_actions& out)
{
    if (m_view.note(status, now) == status_change::roles || m_switchover)
    {
        evaluate(now, out);
    }
}

void group_monitor::evaluate(state::time_point now, group_actions& out)
{
    advance_promotion(now, out);
    advance_switchover(now, out);
    announce(out);
}

void group_monitor::announce(group_actions& out)
{
    auto primary = m_promotion ? std::nullopt : m_view.primary();
    if (primary != m_announced)
    {
        m_announced = std::move(primary);
        out.emplace_back(primary_changed{m_announced});
    }
}

void group_monitor::probe(state::time_point now, group_actions& out)
{
    bool const healthy = !m_promotion && !m_switchover && !m_switchover_at &&
                         assess_primary(now) == primary_health::alive;
    auto const interval =
        healthy ? m_probe_interval
                : std::min(m_probe_interval, m_settings.m_fast_probe_interval);
    if (now < std::min(m_probe_at, m_probed_at + interval))
    {
        return;
    }
    m_probed_at = now;
    m_probe_at = now + interval;
    ++m_probe;
    for (auto const& status : m_view.statuses())
    {
        out.emplace_back(send_probe{status.m_member, m_probe});
    }
}

void group_monitor::detect(state::time_point now, group_actions& out)
{
    if (!m_promotion && m_detector.should_promote(m_view, now))
    {
        start_promotion({{}, m_view.primary_index()}, now, out);
        announce(out);
    }
}

void group_monitor::start_promotion(promotion_preference preference,
                                    state::time_point now, group_actions& out)
{
    m_last_proposed =
        std::max(m_last_proposed, m_view.highest_granted()).next(m_tag);
    ++m_promotions;
    m_promotion.emplace(m_last_proposed, m_proposer, std::move(preference),
                        m_view, m_settings, now);
    m_promotion->advance(m_view, now, out);
}

void group_monitor::advance_promotion(state::time_point now, group_actions& out)
{
    if (!m_promotion)
    {
        return;
    }
    m_promotion->advance(m_view, now, out);
    auto const stage = m_promotion->stage();
    if (stage == promotion_stage::lost)
    {
        m_detector.back_off(now);
        m_promotion.reset();
        if (m_switchover)
        {
            end_switchover(switchover_result::lost, out);
        }
    }
    else if (stage == promotion_stage::done)
    {
        m_detector.reset_backoff();
        m_follow_at = now;
        m_promotion.reset();
        send_follow_requests(now, out);
    }
}

} // namespace camphortide::coordination
