#pragma once

#include "deployment.hpp"

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include <camphortide/coordination/limits/admission.hpp>

/// A simulated request. Times are in ms since the start.
struct job
{
    std::uint64_t m_id = 0;
    std::size_t m_class = 0;
    double m_arrival = 0;
    double m_deadline = 0;
    double m_service = 0;
    bool m_retry = false;
};

/// A refused request and the retry delay reported to its client.
struct job_refusal
{
    std::uint64_t m_id = 0;
    double m_retry_after = 0; ///< in ms
};

/// Requests that a scheduler starts or refuses.
struct scheduling_result
{
    std::vector<std::uint64_t> m_started;
    std::vector<job_refusal> m_refused;
};

/// Assigns slots to requests.
class scheduler
{
public:
    virtual ~scheduler() = default;
    virtual scheduling_result arrive(job const& arriving, double now) = 0;
    virtual scheduling_result finish(job const& finished, double now) = 0;
    virtual scheduling_result tick(double now) = 0;
};

/// Serves requests in order of arrival and ignores deadlines.
class fifo_scheduler : public scheduler
{
public:
    /// @param max_queue_length maximum number of queued requests
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

/// Uses the admission of this project.
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

/// Creates a scheduler for a deployment.
using scheduler_maker =
    std::unique_ptr<scheduler> (*)(deployment const& target);

/// A scheduling policy and its name in the report.
struct policy
{
    std::string m_name;
    scheduler_maker m_make_scheduler;
};

/// @return the baseline policies and the admission of this project
std::vector<policy> policies();
