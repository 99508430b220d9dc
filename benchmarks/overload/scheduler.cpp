#include "scheduler.hpp"

#include <limits>

namespace coordination = camphortide::coordination;
namespace state = camphortide::state;

namespace
{

constexpr std::size_t fifo_queue_length = 64;

state::time_point at(double ms)
{
    return state::time_point(
        state::duration(static_cast<state::duration::rep>(ms)));
}

scheduling_result
to_scheduling_result(coordination::admission_changes const& changes)
{
    scheduling_result result;
    result.m_started = changes.m_admitted;
    result.m_refused.reserve(changes.m_refused.size());
    for (auto const& each : changes.m_refused)
    {
        result.m_refused.push_back(
            {each.m_id, static_cast<double>(each.m_retry_after.count())});
    }
    return result;
}

} // namespace

scheduling_result fifo_scheduler::arrive(job const& arriving, double /*now*/)
{
    if (m_free > 0)
    {
        m_free -= 1;
        return {{arriving.m_id}, {}};
    }
    if (m_queue.size() >= m_max_queue_length)
    {
        return {{}, {{arriving.m_id, 1000}}};
    }
    m_queue.push_back(arriving.m_id);
    return {};
}

scheduling_result fifo_scheduler::finish(job const& /*done*/, double /*now*/)
{
    if (m_queue.empty())
    {
        m_free += 1;
        return {};
    }
    scheduling_result result{{m_queue.front()}, {}};
    m_queue.pop_front();
    return result;
}

scheduling_result fifo_scheduler::tick(double /*now*/)
{
    return {};
}

admission_scheduler::admission_scheduler(deployment const& target)
{
    std::vector<coordination::entry_limits> entries;
    for (auto const& each : target.m_classes)
    {
        coordination::entry_limits limits;
        limits.m_name = each.m_customer + "/" + each.m_name;
        limits.m_customer = each.m_customer;
        limits.m_class = each.m_name;
        limits.m_queue_time = state::duration(
            static_cast<state::duration::rep>(each.m_deadline_ms));
        m_names.push_back(limits.m_name);
        entries.push_back(limits);
    }
    m_admission.set_entries(entries, at(0));
    m_admission.set_capacity(coordination::slot_class::primary, target.m_slots,
                             at(0));
}

scheduling_result admission_scheduler::arrive(job const& arriving, double now)
{
    coordination::admission_request request;
    request.m_id = arriving.m_id;
    request.m_entry = m_names[arriving.m_class];
    request.m_deadline = at(arriving.m_deadline);
    request.m_retry = arriving.m_retry;
    auto const decision = m_admission.submit(request, at(now));
    if (decision.m_result == coordination::admission_result::admitted)
    {
        return {{arriving.m_id}, {}};
    }
    if (decision.m_result == coordination::admission_result::queued)
    {
        return {};
    }
    return {
        {},
        {{arriving.m_id, static_cast<double>(decision.m_retry_after.count())}}};
}

scheduling_result admission_scheduler::finish(job const& finished, double now)
{
    return to_scheduling_result(m_admission.finished(
        finished.m_id, coordination::work(finished.m_service), at(now)));
}

scheduling_result admission_scheduler::tick(double now)
{
    return to_scheduling_result(m_admission.tick(at(now)));
}

std::vector<policy> policies()
{
    return {{"fifo, no limits",
             [](deployment const& target) -> std::unique_ptr<scheduler>
             {
                 return std::make_unique<fifo_scheduler>(
                     target.m_slots, std::numeric_limits<std::size_t>::max());
             }},
            {"fifo, queue of 64",
             [](deployment const& target) -> std::unique_ptr<scheduler>
             {
                 return std::make_unique<fifo_scheduler>(target.m_slots,
                                                         fifo_queue_length);
             }},
            {"admission",
             [](deployment const& target) -> std::unique_ptr<scheduler>
             {
                 return std::make_unique<admission_scheduler>(target);
             }}};
}
