#include <algorithm>

#include <camphortide/coordination/request/read_requirement.hpp>

namespace camphortide::coordination
{

namespace
{

/// The clock truncates to milliseconds: the true time is below this value.
state::time_point true_time_bound(state::time_point now)
{
    return now + state::duration(1);
}

} // namespace

std::uint64_t read_requirement::covered_index() const
{
    return m_covered ? m_covered->m_index : 0;
}

std::optional<state::time_point>
read_requirement::required_as_of(state::time_point now) const
{
    if (m_source == source::current_data)
    {
        return m_arrival;
    }
    if (!m_max_age)
    {
        return std::nullopt;
    }
    if (*m_max_age == state::duration::zero())
    {
        return m_arrival;
    }
    return true_time_bound(now) + m_delivery_time - *m_max_age;
}

state::duration read_requirement::age_at_delivery(state::time_point current,
                                                  state::time_point now) const
{
    return true_time_bound(now) + m_delivery_time - current;
}

std::optional<std::uint64_t>
read_requirement::required_index_at(freshness const& samples,
                                    state::time_point release) const
{
    auto const time = required_as_of(release);
    if (!time)
    {
        return covered_index();
    }
    auto const fresh = samples.index_covering(*time);
    if (!fresh)
    {
        return std::nullopt;
    }
    return std::max(covered_index(), *fresh);
}

read_requirement make_read_requirement(state::session_token const& token,
                                       std::string_view group,
                                       std::optional<state::duration> max_age,
                                       state::time_point now, deadline end)
{
    using source = read_requirement::source;
    read_requirement result;
    result.m_covered = token.find(group);
    result.m_max_age = max_age;
    result.m_arrival = now;
    result.m_deadline = end;
    if (result.m_covered || (max_age && token.complete()))
    {
        result.m_source = source::any;
        return result;
    }
    result.m_source = token.complete() ? source::primary : source::current_data;
    return result;
}

} // namespace camphortide::coordination
