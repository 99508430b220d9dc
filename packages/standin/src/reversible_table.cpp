#include <utility>

#include <camphortide/standin/reversible_table.hpp>

namespace camphortide::standin
{

statement_result
reversible_table::run(std::vector<std::string> const& statements)
{
    statement_result result;
    step cells;
    cells.reserve(statements.size());
    for (auto const& statement : statements)
    {
        auto const key = statement_key(statement);
        auto const found = m_rows.find(key);
        cells.push_back({std::string(key),
                         found == m_rows.end()
                             ? std::nullopt
                             : std::optional<std::string>(found->second)});
        result = run_statement(m_rows, statement);
        if (!result.m_ok)
        {
            restore(cells);
            return result;
        }
    }
    m_steps.push_back(std::move(cells));
    if (m_steps.size() > max_undo_steps)
    {
        m_steps.pop_front();
    }
    return result;
}

bool reversible_table::undo(std::size_t steps)
{
    if (steps > m_steps.size())
    {
        return false;
    }
    for (; steps > 0; --steps)
    {
        restore(m_steps.back());
        m_steps.pop_back();
    }
    return true;
}

void reversible_table::clear()
{
    m_rows.clear();
    m_steps.clear();
}

void reversible_table::restore(step& cells)
{
    for (; !cells.empty(); cells.pop_back())
    {
        auto& cell = cells.back();
        if (cell.m_value)
        {
            m_rows[cell.m_key] = std::move(*cell.m_value);
        }
        else
        {
            m_rows.erase(cell.m_key);
        }
    }
}

} // namespace camphortide::standin
