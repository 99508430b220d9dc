#include "simulation.hpp"

#include <queue>
#include <random>
#include <tuple>
#include <unordered_map>

namespace
{

constexpr double tick_ms = 5;

enum class event_kind
{
    finish,
    arrival,
    retry,
    tick
};

struct event
{
    double m_at = 0;
    event_kind m_kind = event_kind::tick;
    std::uint64_t m_id = 0; ///< a job, or the class of an arrival or a retry

    bool operator>(event const& other) const
    {
        return std::tie(m_at, m_kind, m_id) >
               std::tie(other.m_at, other.m_kind, other.m_id);
    }
};

class simulation
{
public:
    simulation(deployment const& target, scheduler& tested_scheduler,
               offered_load const& load, std::uint64_t seed)
        : m_deployment(target),
          m_scheduler(tested_scheduler),
          m_load(load),
          m_random(seed),
          m_results(target.m_classes.size())
    {
    }

    std::vector<class_result> run()
    {
        for (std::size_t i = 0; i < m_deployment.m_classes.size(); ++i)
        {
            schedule_arrival(i);
        }
        m_events.push({tick_ms, event_kind::tick, 0});
        while (!m_events.empty() && m_events.top().m_at < m_load.m_duration_ms)
        {
            auto const next = m_events.top();
            m_events.pop();
            m_now = next.m_at;
            handle(next);
        }
        return m_results;
    }

private:
    double exponential(double mean)
    {
        return std::exponential_distribution<>(1 / mean)(m_random);
    }

    void schedule_arrival(std::size_t class_index)
    {
        auto const& traffic = m_deployment.m_classes[class_index];
        double const work_per_ms =
            m_load.m_loads[class_index] * m_deployment.m_slots;
        if (work_per_ms > 0)
        {
            double const gap = exponential(traffic.m_service_ms / work_per_ms);
            m_events.push({m_now + gap, event_kind::arrival, class_index});
        }
    }

    void handle(event const& next)
    {
        switch (next.m_kind)
        {
        case event_kind::arrival:
            m_results[next.m_id].m_offered += 1;
            offer(next.m_id, false);
            schedule_arrival(next.m_id);
            return;
        case event_kind::retry:
            offer(next.m_id, true);
            return;
        case event_kind::finish:
            finish(next.m_id);
            return;
        case event_kind::tick:
            apply(m_scheduler.tick(m_now));
            m_events.push({m_now + tick_ms, event_kind::tick, 0});
            return;
        }
    }

    void offer(std::size_t class_index, bool retry)
    {
        auto const& traffic = m_deployment.m_classes[class_index];
        job arriving;
        arriving.m_id = ++m_last_id;
        arriving.m_class = class_index;
        arriving.m_arrival = m_now;
        arriving.m_deadline = m_now + traffic.m_deadline_ms;
        arriving.m_service = exponential(traffic.m_service_ms);
        arriving.m_retry = retry;
        m_jobs.emplace(arriving.m_id, arriving);
        apply(m_scheduler.arrive(arriving, m_now));
    }

    void finish(std::uint64_t id)
    {
        auto const finished = m_jobs.extract(id).mapped();
        auto& result = m_results[finished.m_class];
        bool const in_time = m_now <= finished.m_deadline;
        (in_time ? result.m_in_time : result.m_late) += 1;
        result.m_useful_ms += in_time ? finished.m_service : 0;
        result.m_latency_ms.push_back(m_now - finished.m_arrival);
        apply(m_scheduler.finish(finished, m_now));
    }

    void apply(scheduling_result const& changes)
    {
        for (auto const id : changes.m_started)
        {
            m_events.push(
                {m_now + m_jobs.at(id).m_service, event_kind::finish, id});
        }
        for (auto const& each : changes.m_refused)
        {
            auto const refused = m_jobs.extract(each.m_id).mapped();
            auto& result = m_results[refused.m_class];
            result.m_refused += 1;
            result.m_refusal_ms.push_back(m_now - refused.m_arrival);
            if (m_load.m_retries && !refused.m_retry)
            {
                m_events.push({m_now + each.m_retry_after, event_kind::retry,
                               refused.m_class});
            }
        }
    }

    deployment const& m_deployment;
    scheduler& m_scheduler;
    offered_load const& m_load;
    std::mt19937_64 m_random;
    std::vector<class_result> m_results;
    std::priority_queue<event, std::vector<event>, std::greater<>> m_events;
    std::unordered_map<std::uint64_t, job> m_jobs;
    std::uint64_t m_last_id = 0;
    double m_now = 0;
};

} // namespace

std::vector<class_result> simulate(deployment const& target,
                                   scheduler& tested_scheduler,
                                   offered_load const& load, std::uint64_t seed)
{
    return simulation(target, tested_scheduler, load, seed).run();
}
