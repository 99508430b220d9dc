#include "request_home.hpp"

namespace camphortide::standin
{

using namespace coordination;
using rule = broken_request_rule;

void request_home::start_read(std::uint64_t request,
                              read_requirement const& needed)
{
    read_work work{needed, read_attempts(needed.m_deadline)};
    work.m_random = m_world.below(1000);
    if (m_world.broken() == rule::ignore_token)
    {
        work.m_needed.m_covered.reset();
    }
    m_budget.note_request();
    m_reads.emplace(request, work);
    route(request);
}

void request_home::route(std::uint64_t request)
{
    auto& work = m_reads.at(request);
    auto const members = views();
    auto const choice = m_router.route(
        {work.m_needed, members, m_samples, work.m_attempts.attempted(),
         work.m_attempts.primary_next(), work.m_random, m_world.now()});
    work.m_waits = choice.m_action == read_choice::action::wait;
    if (work.m_waits)
    {
        work.m_attempts.note_wait();
        return;
    }
    if (choice.m_action == read_choice::action::refuse)
    {
        m_reads.erase(request);
        m_listener.read_refused(request);
        return;
    }
    work.m_member = choice.m_member;
    ask(choice.m_member,
        [request, attempt = ++work.m_attempt](member_model& model) -> reply
        {
            auto const answer = model.read("get total");
            return [=](request_home& home)
            {
                home.read_answered(request, attempt, answer);
            };
        });
}

void request_home::read_answered(std::uint64_t request, std::uint64_t attempt,
                                 statement_answer const& answer)
{
    auto const found = m_reads.find(request);
    if (found == m_reads.end() || found->second.m_attempt != attempt)
    {
        return;
    }
    found->second.m_position = answer.m_position;
    found->second.m_held = true;
    check(request);
}

void request_home::check(std::uint64_t request)
{
    auto& work = m_reads.at(request);
    auto const verdict =
        accept_read(work.m_position, work.m_needed, log(rule::release_unsafe),
                    m_samples, m_world.now());
    if (verdict.m_decision == read_decision::hold)
    {
        return;
    }
    work.m_held = false;
    if (verdict.m_decision == read_decision::retry)
    {
        go_on(request, work.m_attempts.rejected(verdict.m_reason, m_budget,
                                                m_world.now()));
        return;
    }
    auto const position = work.m_position;
    m_reads.erase(request);
    if (verdict.m_decision == read_decision::drop)
    {
        m_listener.read_refused(request);
        return;
    }
    m_listener.read_released(request, position, verdict.m_age);
}

void request_home::go_on(std::uint64_t request, attempt_result result)
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
