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
constexpr std::size_t shortest_deadline_ms = 20;
constexpr std::size_t deadline_range_ms = 300;
constexpr std::array ages_ms{0, 10, 20, 60, 200};

} // namespace

request_callers::request_callers(request_world& world) : m_world(world) {}

void request_callers::write(request_home& home)
{
    auto const request = ++m_last;
    write_call const call{std::to_string(request), m_world.below(sessions),
                          true, &home};
    m_writes.emplace(request, call);
    home.start_write(request, call.m_key, end());
}

void request_callers::read(request_home& home)
{
    auto const request = ++m_last;
    read_call call;
    call.m_session = m_world.below(sessions);
    call.m_floor = m_floors[call.m_session];
    auto const age = m_world.below(ages_ms.size() + 1);
    if (age < ages_ms.size())
    {
        call.m_max_age = state::duration(ages_ms[age]);
    }
    m_reads.emplace(request, call);
    home.start_read(request, coordination::make_read_requirement(
                                 m_tokens[call.m_session], group,
                                 call.m_max_age, m_world.now(), end()));
}

void request_callers::ask(request_home& home)
{
    if (m_unknown.empty())
    {
        return;
    }
    auto const place = m_world.below(m_unknown.size());
    auto call = m_unknown[place];
    m_unknown.erase(m_unknown.begin() + static_cast<std::ptrdiff_t>(place));
    call.m_first = false;
    call.m_home = &home;
    auto const request = ++m_last;
    m_writes.emplace(request, call);
    if (m_world.percent(50))
    {
        home.start_question(request, call.m_key, end());
        return;
    }
    home.start_write(request, call.m_key, end());
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
            {call.m_key, result.m_position, m_world.now()});
        raise(call.m_session, result.m_position);
        return;
    case state::outcome::not_executed:
        if (call.m_first || barred)
        {
            m_denied.push_back(call.m_key);
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
    if (position.m_index < call.m_floor)
    {
        note(request_promise::session);
    }
    if (call.m_max_age && *call.m_max_age > state::duration::zero())
    {
        check_age(position, *call.m_max_age);
    }
    if (age)
    {
        check_age(position, *age);
    }
    raise(call.m_session, position);
}

void request_callers::read_refused(std::uint64_t request)
{
    m_reads.erase(request);
}

void request_callers::finish(std::deque<record> const& log)
{
    std::multiset<std::string> ran;
    for (auto const& entry : log)
    {
        if (!entry.m_barrier && !entry.m_key.empty())
        {
            ran.insert(entry.m_key);
        }
    }
    for (auto const& key : ran)
    {
        auto const again = key + "'";
        if (ran.count(key) > 1 || ran.contains(again))
        {
            note(request_promise::at_most_once);
        }
    }
    for (auto const& told : m_acknowledged)
    {
        auto const index = told.m_position.m_index;
        if (index == 0 || index > log.size() ||
            log[index - 1].m_key != told.m_key)
        {
            note(request_promise::nothing_lost);
        }
    }
    for (auto const& key : m_denied)
    {
        if (ran.contains(key))
        {
            note(request_promise::not_executed);
        }
    }
    for (auto const& position : m_released)
    {
        auto const index = position.m_index;
        if (index > log.size() ||
            (index > 0 && log[index - 1].m_term != position.m_term))
        {
            note(request_promise::reads_stay);
        }
    }
}

void request_callers::note(request_promise value)
{
    if (m_broken == request_promise::none)
    {
        m_broken = value;
    }
}

void request_callers::raise(std::size_t session,
                            state::log_position const& position)
{
    if (position.m_index == 0)
    {
        return;
    }
    m_tokens[session] = m_tokens[session].advanced(group, position);
    m_floors[session] = std::max(m_floors[session], position.m_index);
}

void request_callers::check_age(state::log_position const& position,
                                state::duration age)
{
    for (auto const& told : m_acknowledged)
    {
        if (told.m_told < m_world.now() - age &&
            told.m_position.m_index > position.m_index)
        {
            note(request_promise::age);
        }
    }
}

coordination::deadline request_callers::end() const
{
    auto const time = shortest_deadline_ms + m_world.below(deadline_range_ms);
    return coordination::deadline::after(m_world.now(), state::duration(time));
}

} // namespace camphortide::standin
