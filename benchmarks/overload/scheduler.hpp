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
struct effects
{
    std::vector<std::uint64_t> m_started;
    std::vector<job_refusal> m_refused;
};

/// Decides which requests get a slot.
class scheduler
{
public:
    virtual ~scheduler() = default;
    virtual effects arrive(job const& asked, double now) = 0;
    virtual effects finish(job const& done, double now) = 0;
    virtual effects tick(double now) = 0;
};

/// First come, first served, whatever the deadline.
class fifo_scheduler : public scheduler
{
public:
    /// @param bound the most requests that wait
    fifo_scheduler(unsigned slots, std::size_t bound)
        : m_free(slots),
          m_bound(bound)
    {
    }

    effects arrive(job const& asked, double now) override;
    effects finish(job const& done, double now) override;
    effects tick(double now) override;

private:
    unsigned m_free;
    std::size_t m_bound;
    std::deque<std::uint64_t> m_queue;
};

/// The project's admission.
class admission_scheduler : public scheduler
{
public:
    explicit admission_scheduler(deployment const& on);

    effects arrive(job const& asked, double now) override;
    effects finish(job const& done, double now) override;
    effects tick(double now) override;

private:
    std::vector<std::string> m_names;
    camphortide::coordination::admission m_admission;
};

/// Makes a scheduler for a deployment.
using scheduler_maker = std::unique_ptr<scheduler> (*)(deployment const& on);

/// A scheduler and its name in the report.
struct policy
{
    std::string m_name;
    scheduler_maker m_make;
};

/// @return the baselines and the project's admission
std::vector<policy> policies();
