#include "scheduler.hpp"

#include <limits>

namespace coordination = camphortide::coordination;
namespace state = camphortide::state;

namespace
{

constexpr std::size_t fifo_bound = 64;

state::time_point at(double ms)
{
    return state::time_point(
        state::duration(static_cast<state::duration::rep>(ms)));
}

effects convert(coordination::admission_changes const& changes)
{
    effects made;
    made.m_started = changes.m_admitted;
    made.m_refused.reserve(changes.m_refused.size());
    for (auto const& each : changes.m_refused)
    {
        made.m_refused.push_back(
            {each.m_id, static_cast<double>(each.m_retry_after.count())});
    }
    return made;
}

} // namespace

effects fifo_scheduler::arrive(job const& asked, double /*now*/)
{
    if (m_free > 0)
    {
        m_free -= 1;
        return {{asked.m_id}, {}};
    }
    if (m_queue.size() >= m_bound)
    {
        return {{}, {{asked.m_id, 1000}}};
    }
    m_queue.push_back(asked.m_id);
    return {};
}

effects fifo_scheduler::finish(job const& /*done*/, double /*now*/)
{
    if (m_queue.empty())
    {
        m_free += 1;
        return {};
    }
    effects made{{m_queue.front()}, {}};
    m_queue.pop_front();
    return made;
}

effects fifo_scheduler::tick(double /*now*/)
{
    return {};
}

admission_scheduler::admission_scheduler(deployment const& on)
{
    std::vector<coordination::entry_limits> entries;
    for (auto const& each : on.m_classes)
    {
        coordination::entry_limits limits;
        limits.m_name = each.m_owner + "/" + each.m_name;
        limits.m_owner = each.m_owner;
        limits.m_class = each.m_name;
        limits.m_queue_time = state::duration(
            static_cast<state::duration::rep>(each.m_deadline_ms));
        m_names.push_back(limits.m_name);
        entries.push_back(limits);
    }
    m_admission.set_entries(entries, at(0));
    m_admission.set_capacity(coordination::slot_class::primary, on.m_slots,
                             at(0));
}

effects admission_scheduler::arrive(job const& asked, double now)
{
    coordination::admission_request request;
    request.m_id = asked.m_id;
    request.m_entry = m_names[asked.m_class];
    request.m_deadline = at(asked.m_deadline);
    request.m_retry = asked.m_retry;
    auto const decision = m_admission.submit(request, at(now));
    if (decision.m_result == coordination::admission_result::admitted)
    {
        return {{asked.m_id}, {}};
    }
    if (decision.m_result == coordination::admission_result::queued)
    {
        return {};
    }
    return {
        {},
        {{asked.m_id, static_cast<double>(decision.m_retry_after.count())}}};
}

effects admission_scheduler::finish(job const& done, double now)
{
    return convert(m_admission.finished(
        done.m_id, coordination::work(done.m_service), at(now)));
}

effects admission_scheduler::tick(double now)
{
    return convert(m_admission.tick(at(now)));
}

std::vector<policy> policies()
{
    return {{"fifo, no limits",
             [](deployment const& on) -> std::unique_ptr<scheduler>
             {
                 return std::make_unique<fifo_scheduler>(
                     on.m_slots, std::numeric_limits<std::size_t>::max());
             }},
            {"fifo, queue of 64",
             [](deployment const& on) -> std::unique_ptr<scheduler>
             {
                 return std::make_unique<fifo_scheduler>(on.m_slots,
                                                         fifo_bound);
             }},
            {"admission",
             [](deployment const& on) -> std::unique_ptr<scheduler>
             {
                 return std::make_unique<admission_scheduler>(on);
             }}};
}
