#include "promise_checker.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace camphortide::standin
{

namespace
{

bool holds(std::vector<state::term> const& log, state::log_position position)
{
    return position.m_index == 0 ||
           (position.m_index <= log.size() &&
            log[position.m_index - 1] == position.m_term);
}

std::vector<state::term> terms_of(std::deque<record> const& log)
{
    std::vector<state::term> terms;
    terms.reserve(log.size());
    for (auto const& entry : log)
    {
        terms.push_back(entry.m_term);
    }
    return terms;
}

bool has_effect(record const& entry)
{
    return !entry.m_key.empty() && !entry.m_barrier;
}

} // namespace

std::string to_string(promise value)
{
    constexpr char const* names[] = {
        "one_primary", "nothing_lost", "at_most_once",     "not_executed",
        "reads_stay",  "reads_match",  "read_your_writes", "valid_token",
        "age",         "agreement"};
    return names[static_cast<std::size_t>(value)];
}

void promise_checker::look_at(std::size_t member, member_model const& model)
{
    auto const& log = model.log();
    auto const last = log.empty()
                          ? state::log_position{}
                          : state::log_position{log.back().m_term, log.size()};
    if (model.role() != state::member_role::primary ||
        std::exchange(m_seen[member], last) == last)
    {
        return;
    }
    check_keys(log);
    auto const term = model.followed();
    auto const [found, is_new] = m_primaries.try_emplace(term);
    if (!is_new)
    {
        if (found->second.m_member != member)
        {
            broken(promise::one_primary);
        }
        return;
    }
    found->second = {member, terms_of(log)};
    for (auto const& [safe_term, position] : m_safe_writes)
    {
        if (safe_term < term && !holds(found->second.m_log, position))
        {
            broken(promise::nothing_lost);
        }
    }
    for (auto const& [safe_term, position] : m_safe_reads)
    {
        if (safe_term < term && !holds(found->second.m_log, position))
        {
            broken(promise::reads_stay);
        }
    }
}

void promise_checker::acknowledged(std::string const& key, state::term term,
                                   state::log_position position,
                                   state::time_point now)
{
    m_acknowledged.push_back({key, position, now});
    m_safe_writes.emplace_back(term, position);
    check_later(term, position, promise::nothing_lost);
}

void promise_checker::told_not_executed(std::string const& key)
{
    m_not_executed.push_back(key);
}

void promise_checker::released(state::term term, state::log_position position,
                               std::uint64_t value, std::uint64_t required,
                               std::optional<state::time_point> fresh_from)
{
    m_released.push_back({position, value});
    m_safe_reads.emplace_back(term, position);
    check_later(term, position, promise::reads_stay);
    if (position.m_index < required)
    {
        broken(promise::read_your_writes);
    }
    for (auto const& write : m_acknowledged)
    {
        if (fresh_from && write.m_at < *fresh_from &&
            write.m_position.m_index > position.m_index)
        {
            broken(promise::age);
        }
    }
}

void promise_checker::finish(std::deque<record> const& log)
{
    check_keys(log);
    auto const terms = terms_of(log);
    for (auto const& write : m_acknowledged)
    {
        if (!holds(terms, write.m_position) ||
            log[write.m_position.m_index - 1].m_key != write.m_key ||
            log[write.m_position.m_index - 1].m_barrier)
        {
            broken(promise::nothing_lost);
        }
    }
    for (auto const& entry : log)
    {
        if (has_effect(entry) &&
            std::ranges::find(m_not_executed, entry.m_key) !=
                m_not_executed.end())
        {
            broken(promise::not_executed);
        }
    }
    for (auto const& read : m_released)
    {
        if (!holds(terms, read.m_position))
        {
            broken(promise::reads_stay);
            continue;
        }
        auto const end =
            log.begin() + static_cast<std::ptrdiff_t>(read.m_position.m_index);
        if (static_cast<std::uint64_t>(
                std::count_if(log.begin(), end, has_effect)) != read.m_value)
        {
            broken(promise::reads_match);
        }
    }
}

void promise_checker::broken(promise value)
{
    m_violation = m_violation.value_or(value);
}

void promise_checker::check_keys(std::deque<record> const& log)
{
    std::set<std::string_view> keys;
    for (auto const& entry : log)
    {
        // A key without its attempt's suffix is what the caller gave.
        auto const key =
            std::string_view(entry.m_key).substr(0, entry.m_key.find('/'));
        if (!key.empty() && !keys.insert(key).second)
        {
            broken(promise::at_most_once);
        }
    }
}

void promise_checker::check_later(state::term term,
                                  state::log_position position, promise value)
{
    for (auto later = m_primaries.upper_bound(term); later != m_primaries.end();
         ++later)
    {
        if (!holds(later->second.m_log, position))
        {
            broken(value);
        }
    }
}

} // namespace camphortide::standin
