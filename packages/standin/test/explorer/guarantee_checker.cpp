#include "guarantee_checker.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace camphortide::standin
{

namespace
{

bool contains_position(std::vector<state::term> const& log,
                       state::log_position position)
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

std::string to_string(guarantee value)
{
    constexpr char const* names[] = {
        "one_primary",  "no_lost_writes", "at_most_once",     "not_executed",
        "stable_reads", "correct_reads",  "read_your_writes", "valid_token",
        "age",          "convergence"};
    return names[static_cast<std::size_t>(value)];
}

void guarantee_checker::check_member(std::size_t member,
                                     member_model const& model)
{
    auto const& log = model.log();
    auto const last = log.empty()
                          ? state::log_position{}
                          : state::log_position{log.back().m_term, log.size()};
    if (model.role() != state::member_role::primary ||
        std::exchange(m_checked_positions[member], last) == last)
    {
        return;
    }
    check_duplicate_keys(log);
    auto const term = model.followed();
    auto const [found, is_new] = m_primaries.try_emplace(term);
    if (!is_new)
    {
        if (found->second.m_member != member)
        {
            note_violation(guarantee::one_primary);
        }
        return;
    }
    found->second = {member, terms_of(log)};
    for (auto const& [safe_term, position] : m_safe_writes)
    {
        if (safe_term < term &&
            !contains_position(found->second.m_log, position))
        {
            note_violation(guarantee::no_lost_writes);
        }
    }
    for (auto const& [safe_term, position] : m_safe_reads)
    {
        if (safe_term < term &&
            !contains_position(found->second.m_log, position))
        {
            note_violation(guarantee::stable_reads);
        }
    }
}

void guarantee_checker::note_acknowledged(std::string const& key,
                                          state::term term,
                                          state::log_position position,
                                          state::time_point now)
{
    m_acknowledged.push_back({key, position, now});
    m_safe_writes.emplace_back(term, position);
    check_later_primaries(term, position, guarantee::no_lost_writes);
}

void guarantee_checker::note_not_executed(std::string const& key)
{
    m_not_executed.push_back(key);
}

void guarantee_checker::note_released(
    state::term term, state::log_position position, std::uint64_t value,
    std::uint64_t min_index, std::optional<state::time_point> fresh_from)
{
    m_released.push_back({position, value});
    m_safe_reads.emplace_back(term, position);
    check_later_primaries(term, position, guarantee::stable_reads);
    if (position.m_index < min_index)
    {
        note_violation(guarantee::read_your_writes);
    }
    for (auto const& write : m_acknowledged)
    {
        if (fresh_from && write.m_acknowledged_at < *fresh_from &&
            write.m_position.m_index > position.m_index)
        {
            note_violation(guarantee::age);
        }
    }
}

void guarantee_checker::finish(std::deque<record> const& log)
{
    check_duplicate_keys(log);
    auto const terms = terms_of(log);
    for (auto const& write : m_acknowledged)
    {
        if (!contains_position(terms, write.m_position) ||
            log[write.m_position.m_index - 1].m_key != write.m_key ||
            log[write.m_position.m_index - 1].m_barrier)
        {
            note_violation(guarantee::no_lost_writes);
        }
    }
    for (auto const& entry : log)
    {
        if (has_effect(entry) &&
            std::ranges::find(m_not_executed, entry.m_key) !=
                m_not_executed.end())
        {
            note_violation(guarantee::not_executed);
        }
    }
    for (auto const& read : m_released)
    {
        if (!contains_position(terms, read.m_position))
        {
            note_violation(guarantee::stable_reads);
            continue;
        }
        auto const end =
            log.begin() + static_cast<std::ptrdiff_t>(read.m_position.m_index);
        if (static_cast<std::uint64_t>(
                std::count_if(log.begin(), end, has_effect)) != read.m_value)
        {
            note_violation(guarantee::correct_reads);
        }
    }
}

void guarantee_checker::note_violation(guarantee value)
{
    m_violation = m_violation.value_or(value);
}

void guarantee_checker::check_duplicate_keys(std::deque<record> const& log)
{
    std::set<std::string_view> keys;
    for (auto const& entry : log)
    {
        // broken_rule::resend_with_new_key appends a suffix to the caller's
        // key.
        auto const key =
            std::string_view(entry.m_key).substr(0, entry.m_key.find('/'));
        if (!key.empty() && !keys.insert(key).second)
        {
            note_violation(guarantee::at_most_once);
        }
    }
}

void guarantee_checker::check_later_primaries(state::term term,
                                              state::log_position position,
                                              guarantee value)
{
    for (auto later = m_primaries.upper_bound(term); later != m_primaries.end();
         ++later)
    {
        if (!contains_position(later->second.m_log, position))
        {
            note_violation(value);
        }
    }
}

} // namespace camphortide::standin
