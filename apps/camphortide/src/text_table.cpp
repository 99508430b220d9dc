#include "text_table.hpp"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace camphortide::command_line
{

text_table::text_table(std::vector<std::string> headers)
{
    m_rows.push_back(std::move(headers));
}

void text_table::add(std::vector<std::string> cells)
{
    m_rows.push_back(std::move(cells));
}

std::string text_table::text() const
{
    std::vector<std::size_t> widths(m_rows.front().size(), 0);
    for (auto const& row : m_rows)
    {
        for (std::size_t i = 0; i < row.size(); ++i)
        {
            widths[i] = std::max(widths[i], row[i].size());
        }
    }
    std::string text;
    for (auto const& row : m_rows)
    {
        std::string line = " ";
        for (std::size_t i = 0; i < row.size(); ++i)
        {
            line += ' ';
            line += row[i];
            line.append(widths[i] - row[i].size() + 1, ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        text += line;
        text += '\n';
    }
    return text;
}

} // namespace camphortide::command_line
