#include "request_callers.hpp"

#include <algorithm>
#include <array>
#include <set>
#include <utility>

namespace camphortide::standin
{

namespace
{

constexpr char const* group = "loans";
constexpr std::size_t min_deadline_ms = 20;
constexpr std::size_t deadline_range_ms = 300;
constexpr std::array max_ages_ms{0, 10, 20, 60, 200};

} // namespace

request_callers::request_callers(request_simulation& simulation)
    : m_simulation(simulation)
{
}

void request_callers::start_write(request_home& home)
{
    auto const request = ++m_last_request;
    write_call const call{std::to_string(request), m_simulation.below(sessions),
                          true, &home};
    m_writes.emplace(request, call);
    home.start_write(request, call.m_key, make_deadline());
}

void request_callers::start_read(request_home& home)
{
    auto const request = ++m_last_request;
    read_call call;
    call.m_session = m_simulation.below(sessions);
    call.m_min_index = m_min_indexes[call.m_session];
    auto const age = m_simulation.below(max_ages_ms.size() + 1);
    if (age < max_ages_ms.size())
    {
        call.m_max_age = state::duration(max_ages_ms[age]);
    }
    m_reads.emplace(request, call);
    home.start_read(request,
                    coordination::make_read_requirement(
                        m_tokens[call.m_session], group, call.m_max_age,
                        m_simulation.now(), make_deadline()));
}

void request_callers::query_or_resend(request_home& home)
{
    if (m_unknown.empty())
    {
        return;
    }
    auto const index = m_simulation.below(m_unknown.size());
    auto call = m_unknown[index];
    m_unknown.erase(m_unknown.begin() + static_cast<std::ptrdiff_t>(index));
    call.m_first_attempt = false;
    call.m_home = &home;
    auto const request = ++m_last_request;
    m_writes.emplace(request, call);
    if (m_simulation.percent(50))
    {
        home.start_outcome_query(request, call.m_key, make_deadline());
        return;
    }
    home.start_write(request, call.m_key, make_deadline());
}

void request_callers::home_lost(request_home const& home)
{
    for (auto const& [request, call] : m_writes)
    {
        if (call.m_home == &home)
        {
            m_unknown.push_back(call);
        }
    }
    std::erase_if(m_writes, [&](auto const& entry)
                  { return entry.second.m_home == &home; });
}

void request_callers::write_ended(std::uint64_t request,
                                  coordination::request_result const& result)
{
    auto const call = m_writes.at(request);
    m_writes.erase(request);
    bool const barred = result.m_reason == state::reason::key_barred;
    switch (result.m_outcome)
    {
    case state::outcome::executed:
        m_acknowledged.push_back(
            {call.m_key, result.m_position, m_simulation.now()});
        advance_session(call.m_session, result.m_position);
        return;
    case state::outcome::not_executed:
        if (call.m_first_attempt || barred)
        {
            m_not_executed.push_back(call.m_key);
            return;
        }
        m_unknown.push_back(call);
        return;
    case state::outcome::unknown:
        m_unknown.push_back(call);
        return;
    }
}

void request_callers::read_released(std::uint64_t request,
                                    state::log_position const& position,
                                    std::optional<state::duration> age)
{
    auto const call = m_reads.at(request);
    m_reads.erase(request);
    m_released.push_back(position);
    if (position.m_index < call.m_min_index)
    {
        note_violation(request_guarantee::read_your_writes);
    }
    if (call.m_max_age && *call.m_max_age > state::duration::zero())
    {
        check_age(position, *call.m_max_age);
    }
    if (age)
    {
        check_age(position, *age);
    }
    advance_session(call.m_session, position);
}

void request_callers::read_refused(std::uint64_t request)
{
    m_reads.erase(request);
}

void request_callers::finish(std::deque<record> const& log)
{
    std::multiset<std::string> executed_keys;
    for (auto const& entry : log)
    {
        if (!entry.m_barrier && !entry.m_key.empty())
        {
            executed_keys.insert(entry.m_key);
        }
    }
    for (auto const& key : executed_keys)
    {
        auto const again = key + "'";
        if (executed_keys.count(key) > 1 || executed_keys.contains(again))
        {
            note_violation(request_guarantee::at_most_once);
        }
    }
    for (auto const& write : m_acknowledged)
    {
        auto const index = write.m_position.m_index;
        if (index == 0 || index > log.size() ||
            log[index - 1].m_key != write.m_key)
        {
            note_violation(request_guarantee::no_lost_writes);
        }
    }
    for (auto const& key : m_not_executed)
    {
        if (executed_keys.contains(key))
        {
            note_violation(request_guarantee::not_executed);
        }
    }
    for (auto const& position : m_released)
    {
        auto const index = position.m_index;
        if (index > log.size() ||
            (index > 0 && log[index - 1].m_term != position.m_term))
        {
            note_violation(request_guarantee::stable_reads);
        }
    }
}

void request_callers::note_violation(request_guarantee value)
{
    if (m_violation == request_guarantee::none)
    {
        m_violation = value;
    }
}

void request_callers::advance_session(std::size_t session,
                                      state::log_position const& position)
{
    if (position.m_index == 0)
    {
        return;
    }
    m_tokens[session] = m_tokens[session].advanced(group, position);
    m_min_indexes[session] = std::max(m_min_indexes[session], position.m_index);
}

void request_callers::check_age(state::log_position const& position,
                                state::duration age)
{
    for (auto const& write : m_acknowledged)
    {
        if (write.m_acknowledged_at < m_simulation.now() - age &&
            write.m_position.m_index > position.m_index)
        {
            note_violation(request_guarantee::age);
        }
    }
}

coordination::deadline request_callers::make_deadline() const
{
    auto const time = min_deadline_ms + m_simulation.below(deadline_range_ms);
    return coordination::deadline::after(m_simulation.now(),
                                         state::duration(time));
}

} // namespace camphortide::standin
