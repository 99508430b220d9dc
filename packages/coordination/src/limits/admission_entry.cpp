#include <algorithm>
#include <cmath>

#include <camphortide/coordination/limits/admission_entry.hpp>
#include <camphortide/coordination/limits/retry_hint.hpp>

namespace camphortide::coordination
{

namespace
{

constexpr double max_retry_budget = 10; ///< of one entry

/// The age after which an idle entry's estimated work no longer gets a request
/// refused. Otherwise an entry that was slow once might be refused forever.
constexpr state::duration max_estimate_age{1000};

admission_decision rate_refusal(state::duration retry_after)
{
    return {admission_result::refused, state::reason::rate_limit, retry_after};
}

} // namespace

void admission_entry::set_limits(entry_limits const& limits,
                                 state::time_point now)
{
    m_limits = limits;
    m_rate.set_rate(limits.m_rate, now);
}

waiting_request admission_entry::estimate(admission_request const& request,
                                          state::time_point now) const
{
    waiting_request item;
    item.m_id = request.m_id;
    item.m_deadline = request.m_deadline.value_or(now + m_limits.m_deadline);
    item.m_cost = request.m_cost.value_or(mean_work());
    if (m_running == 0 && now - m_last_sample >= max_estimate_age)
    {
        item.m_cost = std::min(item.m_cost, work(item.m_deadline - now) / 2);
    }
    state::duration const cost(
        static_cast<state::duration::rep>(std::ceil(item.m_cost.count())));
    item.m_latest_start =
        std::min(now + m_limits.m_queue_time, item.m_deadline - cost);
    return item;
}

std::optional<admission_decision>
admission_entry::take_tokens(admission_request const& request,
                             state::time_point now)
{
    if (request.m_retry && m_retry_budget < 1)
    {
        return rate_refusal(retry_hint(no_capacity_wait, request.m_id));
    }
    if (!m_rate.take_token(now))
    {
        return rate_refusal(
            retry_hint(m_rate.time_until_token(now), request.m_id));
    }
    double const budget_change = request.m_retry ? -1 : m_limits.m_retry_share;
    m_retry_budget = std::min(m_retry_budget + budget_change, max_retry_budget);
    return std::nullopt;
}

void admission_entry::add_service_time(work service, state::time_point now)
{
    m_work.add(service.count());
    m_last_sample = now;
}

bool admission_entry::can_start() const
{
    return !m_limits.m_concurrency || m_running < *m_limits.m_concurrency;
}

work admission_entry::concurrency_wait() const
{
    if (can_start() || blocked())
    {
        return work::zero();
    }
    double const rounds =
        static_cast<double>(m_queued + 1) / *m_limits.m_concurrency;
    return mean_work() * rounds;
}

} // namespace camphortide::coordination
