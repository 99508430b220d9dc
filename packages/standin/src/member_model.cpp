#include <algorithm>
#include <functional>
#include <iterator>
#include <utility>

#include <camphortide/standin/member_model.hpp>

namespace camphortide::standin
{

member_model::member_model(std::string name) : m_name(std::move(name)) {}

bool member_model::fence(state::term term, std::string const& proposer)
{
    if (term == m_granted && proposer == m_granted_proposer)
    {
        return true;
    }
    if (term <= m_granted)
    {
        return false;
    }
    m_granted = term;
    m_granted_proposer = proposer;
    m_role = state::member_role::fenced;
    m_primary.clear();
    return true;
}

bool member_model::promote(state::term term, std::string const& proposer)
{
    if (term != m_granted || proposer != m_granted_proposer)
    {
        return false;
    }
    if (m_role == state::member_role::primary)
    {
        return true;
    }
    if (m_followed == term)
    {
        return false;
    }
    m_role = state::member_role::primary;
    m_followed = term;
    m_primary = m_name;
    apply_to(m_log.size());
    append_and_apply(record{term, {}, {}, {}, false});
    return true;
}

bool member_model::follow(state::term term, std::string const& primary)
{
    if (term < m_granted || primary == m_name)
    {
        return false;
    }
    if (term > m_granted)
    {
        m_granted = term;
        m_granted_proposer.clear();
    }
    if (m_role == state::member_role::primary && m_followed == term)
    {
        return false;
    }
    m_followed = term;
    m_primary = primary;
    m_role = state::member_role::replica;
    return true;
}

std::optional<std::uint64_t>
member_model::receive(replication_message const& message)
{
    if (!follow(message.m_term, message.m_primary))
    {
        return std::nullopt;
    }
    std::uint64_t index = message.m_previous.m_index;
    if (index > m_log.size())
    {
        return m_log.size();
    }
    if (position_of(index) != message.m_previous)
    {
        truncate_to(first_conflict(message) - 1);
        return m_log.size();
    }
    for (auto const& entry : message.m_records)
    {
        ++index;
        if (index <= m_log.size() && m_log[index - 1].m_term != entry.m_term)
        {
            truncate_to(index - 1);
        }
        if (index > m_log.size())
        {
            append_record(entry);
        }
    }
    return index;
}

std::optional<replication_message>
member_model::replicate(std::uint64_t after, std::size_t max_records) const
{
    if (m_role != state::member_role::primary)
    {
        return std::nullopt;
    }
    after = std::min<std::uint64_t>(after, m_log.size());
    auto const first = m_log.begin() + static_cast<std::ptrdiff_t>(after);
    auto const count = std::min<std::size_t>(max_records, m_log.size() - after);
    return replication_message{
        m_followed,
        m_name,
        position_of(after),
        start_of_term_at(after),
        {first, first + static_cast<std::ptrdiff_t>(count)}};
}

void member_model::apply_to(std::uint64_t index)
{
    index = std::min<std::uint64_t>(index, m_log.size());
    while (m_applied < index)
    {
        m_table.run(m_log[m_applied].m_statements);
        record_applied();
    }
}

statement_answer member_model::read(std::string_view text) const
{
    auto result = run_query(m_table.rows(), text);
    return {result.m_ok ? statement_code::ok : statement_code::failed,
            std::move(result.m_text), position_of(m_applied), false};
}

statement_answer member_model::write(state::term term, std::string const& key,
                                     std::vector<std::string> const& statements)
{
    if (auto const code = write_rejection(term))
    {
        return {*code, {}, {}, false};
    }
    if (auto answer = find_replay(key))
    {
        return *answer;
    }
    auto const result = m_table.run(statements);
    if (!result.m_ok)
    {
        return {statement_code::failed, result.m_text, last_position(), false};
    }
    append_record(record{term, key, statements, result.m_text, false});
    record_applied();
    return {statement_code::ok, result.m_text, last_position(), false};
}

statement_answer member_model::resolve(state::term term, std::string const& key)
{
    if (auto const code = write_rejection(term))
    {
        return {*code, {}, {}, false};
    }
    if (auto answer = find_replay(key))
    {
        return *answer;
    }
    auto answer = append_and_apply(record{term, key, {}, {}, true});
    answer.m_code = statement_code::key_barred;
    return answer;
}

void member_model::restart()
{
    m_role = state::member_role::fenced;
    m_primary.clear();
}

state::member_status member_model::status() const
{
    state::member_status result;
    result.m_member = m_name;
    result.m_role = m_role;
    result.m_granted = m_granted;
    result.m_followed = m_followed;
    result.m_received = last_position();
    result.m_applied = position_of(m_applied);
    result.m_history = state::term_history(m_term_starts);
    return result;
}

std::optional<statement_code>
member_model::write_rejection(state::term term) const
{
    if (m_role != state::member_role::primary)
    {
        return statement_code::not_primary;
    }
    if (term != m_followed)
    {
        return statement_code::wrong_term;
    }
    return std::nullopt;
}

void member_model::append_record(record entry)
{
    if (m_term_starts.empty() || m_term_starts.back().m_term != entry.m_term)
    {
        m_term_starts.push_back({entry.m_term, m_log.size() + 1});
    }
    m_log.push_back(std::move(entry));
}

void member_model::record_applied()
{
    auto const& entry = m_log[m_applied];
    ++m_applied;
    if (!entry.m_key.empty())
    {
        m_key_indexes.try_emplace(entry.m_key, m_applied);
    }
}

statement_answer member_model::append_and_apply(record entry)
{
    auto result = entry.m_result;
    append_record(std::move(entry));
    apply_to(m_log.size());
    return {statement_code::ok, std::move(result), last_position(), false};
}

std::optional<statement_answer>
member_model::find_replay(std::string const& key) const
{
    auto const found =
        key.empty() ? m_key_indexes.end() : m_key_indexes.find(key);
    if (found == m_key_indexes.end())
    {
        return std::nullopt;
    }
    auto const& entry = m_log[found->second - 1];
    auto const code =
        entry.m_barrier ? statement_code::key_barred : statement_code::ok;
    return statement_answer{code, entry.m_result, position_of(found->second),
                            true};
}

void member_model::truncate_to(std::uint64_t index)
{
    if (index >= m_log.size())
    {
        return;
    }
    undo_to(index);
    m_log.resize(index);
    while (!m_term_starts.empty() && m_term_starts.back().m_first_index > index)
    {
        m_term_starts.pop_back();
    }
}

void member_model::undo_to(std::uint64_t index)
{
    if (m_applied <= index)
    {
        return;
    }
    bool const undone = m_table.undo(m_applied - index);
    for (; m_applied > index; --m_applied)
    {
        auto const found = m_key_indexes.find(m_log[m_applied - 1].m_key);
        if (found != m_key_indexes.end() && found->second == m_applied)
        {
            m_key_indexes.erase(found);
        }
    }
    if (!undone)
    {
        m_table.clear();
        m_key_indexes.clear();
        m_applied = 0;
        apply_to(index);
    }
}

std::uint64_t
member_model::first_conflict(replication_message const& message) const
{
    auto const index = message.m_previous.m_index;
    bool const is_older = m_log[index - 1].m_term < message.m_previous.m_term;
    if (is_older)
    {
        return message.m_previous_term_start == 0
                   ? index
                   : message.m_previous_term_start;
    }
    return start_of_term_at(index);
}

state::log_position member_model::last_position() const
{
    return position_of(m_log.size());
}

state::log_position member_model::position_of(std::uint64_t index) const
{
    return index == 0 ? state::log_position{}
                      : state::log_position{m_log[index - 1].m_term, index};
}

std::uint64_t member_model::start_of_term_at(std::uint64_t index) const
{
    auto const after = std::ranges::upper_bound(
        m_term_starts, index, std::less<>(), &state::term_start::m_first_index);
    return after == m_term_starts.begin() ? 0 : std::prev(after)->m_first_index;
}

} // namespace camphortide::standin
