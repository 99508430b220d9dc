#include <algorithm>
#include <utility>

#include <camphortide/standin/member_model.hpp>

namespace camphortide::standin
{

member_model::member_model(std::string name) : m_name(std::move(name)) {}

bool member_model::fence(state::term term, std::string const& proposer)
{
    if (term == m_granted && proposer == m_granted_to)
    {
        return true;
    }
    if (term <= m_granted)
    {
        return false;
    }
    m_granted = term;
    m_granted_to = proposer;
    m_role = state::member_role::fenced;
    m_primary.clear();
    return true;
}

bool member_model::promote(state::term term, std::string const& proposer)
{
    if (term != m_granted || proposer != m_granted_to)
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
    append(record{term, {}, {}, {}, false});
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
        m_granted_to.clear();
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

std::optional<std::uint64_t> member_model::receive(replication const& message)
{
    if (!follow(message.m_term, message.m_primary))
    {
        return std::nullopt;
    }
    std::uint64_t index = message.m_previous.m_index;
    if (index > m_log.size() || position_of(index) != message.m_previous)
    {
        truncate_to(
            std::min<std::uint64_t>(m_log.size(), index == 0 ? 0 : index - 1));
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
            m_log.push_back(entry);
        }
    }
    return index;
}

std::optional<replication> member_model::replicate(std::uint64_t after,
                                                   std::size_t most) const
{
    if (m_role != state::member_role::primary)
    {
        return std::nullopt;
    }
    after = std::min<std::uint64_t>(after, m_log.size());
    auto const first = m_log.begin() + static_cast<std::ptrdiff_t>(after);
    auto const count = std::min<std::size_t>(most, m_log.size() - after);
    return replication{m_followed,
                       m_name,
                       position_of(after),
                       {first, first + static_cast<std::ptrdiff_t>(count)}};
}

void member_model::apply_to(std::uint64_t index)
{
    index = std::min<std::uint64_t>(index, m_log.size());
    for (; m_applied < index; ++m_applied)
    {
        auto const& entry = m_log[m_applied];
        for (auto const& statement : entry.m_statements)
        {
            run_statement(m_rows, statement);
        }
        if (!entry.m_key.empty())
        {
            m_keys.try_emplace(entry.m_key, m_applied + 1);
        }
    }
}

statement_answer member_model::read(std::string_view text)
{
    auto result = run_statement(m_rows, text);
    return {result.m_ok ? statement_code::ok : statement_code::failed,
            std::move(result.m_text), position_of(m_applied), false};
}

statement_answer member_model::write(state::term term, std::string const& key,
                                     std::vector<std::string> const& statements)
{
    if (auto const code = refusal(term))
    {
        return {*code, {}, {}, false};
    }
    if (auto answer = earlier(key))
    {
        return *answer;
    }
    table trial = m_rows;
    statement_result result;
    for (auto const& statement : statements)
    {
        result = run_statement(trial, statement);
        if (!result.m_ok)
        {
            return {statement_code::failed, result.m_text, last(), false};
        }
    }
    return append(record{term, key, statements, result.m_text, false});
}

statement_answer member_model::resolve(state::term term, std::string const& key)
{
    if (auto const code = refusal(term))
    {
        return {*code, {}, {}, false};
    }
    if (auto answer = earlier(key))
    {
        return *answer;
    }
    auto answer = append(record{term, key, {}, {}, true});
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
    result.m_received = last();
    result.m_applied = position_of(m_applied);
    result.m_history = history();
    return result;
}

std::optional<statement_code> member_model::refusal(state::term term) const
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

statement_answer member_model::append(record entry)
{
    auto result = entry.m_result;
    m_log.push_back(std::move(entry));
    apply_to(m_log.size());
    return {statement_code::ok, std::move(result), last(), false};
}

std::optional<statement_answer>
member_model::earlier(std::string const& key) const
{
    auto const found = key.empty() ? m_keys.end() : m_keys.find(key);
    if (found == m_keys.end())
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
    m_log.resize(index);
    if (m_applied <= index)
    {
        return;
    }
    m_rows.clear();
    m_keys.clear();
    m_applied = 0;
    apply_to(index);
}

state::log_position member_model::last() const
{
    return position_of(m_log.size());
}

state::log_position member_model::position_of(std::uint64_t index) const
{
    return index == 0 ? state::log_position{}
                      : state::log_position{m_log[index - 1].m_term, index};
}

state::term_history member_model::history() const
{
    std::vector<state::term_start> starts;
    for (std::uint64_t index = 1; index <= m_log.size(); ++index)
    {
        auto const term = m_log[index - 1].m_term;
        if (starts.empty() || starts.back().m_term != term)
        {
            starts.push_back({term, index});
        }
    }
    return state::term_history(std::move(starts));
}

} // namespace camphortide::standin
