#include <algorithm>
#include <limits>

#include <camphortide/coordination/request/write_tracker.hpp>

namespace camphortide::coordination
{

using phase = keyed_request::phase;
using action = keyed_step::action;

template <typename Input>
keyed_step write_tracker::apply(std::uint64_t request, Input const& input)
{
    auto const found = m_requests.find(request);
    if (found == m_requests.end())
    {
        return {};
    }
    unindex(request, found->second);
    auto const step = input(found->second);
    return reindex(request, step);
}

void write_tracker::add_write(std::uint64_t request, std::string key,
                              deadline end)
{
    add(request, keyed_request::write(std::move(key), end));
}

void write_tracker::add_outcome_query(std::uint64_t request, std::string key,
                                      deadline end)
{
    add(request, keyed_request::outcome_query(std::move(key), end));
}

void write_tracker::note_sent(std::uint64_t request, state::term term)
{
    apply(request,
          [term](keyed_request& value)
          {
              value.note_sent(term);
              return keyed_step();
          });
}

keyed_step write_tracker::answered(std::uint64_t request,
                                   keyed_answer const& answer)
{
    return apply(request, [&](keyed_request& value)
                 { return value.answered(answer, m_log); });
}

keyed_step write_tracker::connection_lost(std::uint64_t request)
{
    return apply(request,
                 [](keyed_request& value) { return value.connection_lost(); });
}

write_tracker::steps write_tracker::log_changed(log_view const& log)
{
    bool const same_term = log.m_term == m_log.m_term;
    m_log = log;
    std::vector<std::uint64_t> affected;
    if (same_term)
    {
        collect_safe(affected);
    }
    else
    {
        collect_all(affected);
    }
    steps result;
    for (auto const request : affected)
    {
        auto const step = apply(request, [&](keyed_request& value)
                                { return value.log_changed(m_log); });
        if (step.m_action != action::none)
        {
            result.push_back({request, step});
        }
    }
    return result;
}

keyed_step write_tracker::abandon(std::uint64_t request, state::reason why)
{
    return apply(request,
                 [&](keyed_request& value) { return value.abandon(why); });
}

write_tracker::steps write_tracker::expire(state::time_point now)
{
    steps result;
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now)
    {
        auto const request = m_deadlines.begin()->second;
        result.push_back(
            {request, abandon(request, state::reason::deadline_exceeded)});
    }
    return result;
}

keyed_request const* write_tracker::find(std::uint64_t request) const
{
    auto const found = m_requests.find(request);
    return found == m_requests.end() ? nullptr : &found->second;
}

void write_tracker::add(std::uint64_t request, keyed_request value)
{
    m_deadlines.emplace(value.end().end(), request);
    m_requests.emplace(request, std::move(value));
}

void write_tracker::unindex(std::uint64_t request, keyed_request const& value)
{
    m_unsafe.erase({value.position().m_index, request});
}

keyed_step write_tracker::reindex(std::uint64_t request, keyed_step step)
{
    auto const found = m_requests.find(request);
    auto const& value = found->second;
    if (value.current_phase() == phase::unsafe)
    {
        m_unsafe.emplace(value.position().m_index, request);
    }
    if (value.current_phase() == phase::done)
    {
        m_deadlines.erase({value.end().end(), request});
        m_requests.erase(found);
    }
    return step;
}

void write_tracker::collect_safe(std::vector<std::uint64_t>& requests) const
{
    auto const end = m_unsafe.upper_bound(
        {m_log.m_safe, std::numeric_limits<std::uint64_t>::max()});
    for (auto entry = m_unsafe.begin(); entry != end; ++entry)
    {
        requests.push_back(entry->second);
    }
}

void write_tracker::collect_all(std::vector<std::uint64_t>& requests) const
{
    requests.reserve(m_requests.size());
    for (auto const& entry : m_requests)
    {
        requests.push_back(entry.first);
    }
    std::ranges::sort(requests);
}

} // namespace camphortide::coordination
