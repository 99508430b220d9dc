#include "request_home.hpp"

namespace camphortide::standin
{

using namespace coordination;
using rule = broken_request_rule;

void request_home::start_read(std::uint64_t request,
                              read_requirement const& requirement)
{
    read_state read{requirement, read_attempts(requirement.m_deadline)};
    read.m_random = m_simulation.below(1000);
    if (m_simulation.broken() == rule::ignore_token)
    {
        read.m_requirement.m_covered.reset();
    }
    m_budget.note_request();
    m_reads.emplace(request, read);
    route(request);
}

void request_home::route(std::uint64_t request)
{
    auto& read = m_reads.at(request);
    auto const members = member_views();
    auto const choice = m_router.route(
        {read.m_requirement, members, m_samples, read.m_attempts.attempted(),
         read.m_attempts.primary_next(), read.m_random, m_simulation.now()});
    read.m_waiting = choice.m_action == read_choice::action::wait;
    if (read.m_waiting)
    {
        read.m_attempts.note_wait();
        return;
    }
    if (choice.m_action == read_choice::action::refuse)
    {
        m_reads.erase(request);
        m_listener.read_refused(request);
        return;
    }
    read.m_member = choice.m_member;
    send_request(
        choice.m_member,
        [request, attempt = ++read.m_attempt](member_model& model) -> reply
        {
            auto const answer = model.read("get total");
            return [=](request_home& home)
            {
                home.handle_read_answer(request, attempt, answer);
            };
        });
}

void request_home::handle_read_answer(std::uint64_t request,
                                      std::uint64_t attempt,
                                      statement_answer const& answer)
{
    auto const found = m_reads.find(request);
    if (found == m_reads.end() || found->second.m_attempt != attempt)
    {
        return;
    }
    found->second.m_position = answer.m_position;
    found->second.m_held = true;
    evaluate_read(request);
}

void request_home::evaluate_read(std::uint64_t request)
{
    auto& read = m_reads.at(request);
    auto const result = accept_read(read.m_position, read.m_requirement,
                                    log(rule::release_unsafe_reads), m_samples,
                                    m_simulation.now());
    if (result.m_decision == read_decision::hold)
    {
        return;
    }
    read.m_held = false;
    if (result.m_decision == read_decision::retry)
    {
        continue_read(request,
                      read.m_attempts.rejected(result.m_reason, m_budget,
                                               m_simulation.now()));
        return;
    }
    auto const position = read.m_position;
    m_reads.erase(request);
    if (result.m_decision == read_decision::drop)
    {
        m_listener.read_refused(request);
        return;
    }
    m_listener.read_released(request, position, result.m_age);
}

void request_home::continue_read(std::uint64_t request, attempt_result result)
{
    if (result.m_retry)
    {
        route(request);
        return;
    }
    m_reads.erase(request);
    m_listener.read_refused(request);
}

} // namespace camphortide::standin
