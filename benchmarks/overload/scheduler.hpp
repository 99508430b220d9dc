#pragma once

#include "deployment.hpp"

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include <camphortide/coordination/limits/admission.hpp>

/// One request in the model; times in ms since the start.
struct job
{
    std::uint64_t m_id = 0;
    std::size_t m_class = 0;
    double m_arrival = 0;
    double m_deadline = 0;
    double m_service = 0;
    bool m_retry = false;
};

/// A refusal and what the client is told.
struct job_refusal
{
    std::uint64_t m_id = 0;
    double m_retry_after = 0; ///< in ms
};

/// What a scheduler does with the requests that it has.
struct scheduling_result
{
    std::vector<std::uint64_t> m_started;
    std::vector<job_refusal> m_refused;
};

/// Decides which requests get a slot.
class scheduler
{
public:
    virtual ~scheduler() = default;
    virtual scheduling_result arrive(job const& arriving, double now) = 0;
    virtual scheduling_result finish(job const& finished, double now) = 0;
    virtual scheduling_result tick(double now) = 0;
};

/// First come, first served, whatever the deadline.
class fifo_scheduler : public scheduler
{
public:
    /// @param bound the most requests that wait
    fifo_scheduler(unsigned slots, std::size_t max_queue_length)
        : m_free(slots),
          m_max_queue_length(max_queue_length)
    {
    }

    scheduling_result arrive(job const& arriving, double now) override;
    scheduling_result finish(job const& finished, double now) override;
    scheduling_result tick(double now) override;

private:
    unsigned m_free;
    std::size_t m_max_queue_length;
    std::deque<std::uint64_t> m_queue;
};

/// The project's admission.
class admission_scheduler : public scheduler
{
public:
    explicit admission_scheduler(deployment const& target);

    scheduling_result arrive(job const& arriving, double now) override;
    scheduling_result finish(job const& finished, double now) override;
    scheduling_result tick(double now) override;

private:
    std::vector<std::string> m_names;
    camphortide::coordination::admission m_admission;
};

/// Makes a scheduler for a deployment.
using scheduler_maker =
    std::unique_ptr<scheduler> (*)(deployment const& target);

/// A scheduler and its name in the report.
struct policy
{
    std::string m_name;
    scheduler_maker m_make_scheduler;
};

/// @return the baselines and the project's admission
std::vector<policy> policies();
