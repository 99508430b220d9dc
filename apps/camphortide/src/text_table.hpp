#pragma once

#include <string>
#include <vector>

namespace camphortide::command_line
{

/// A table of text that is printed in aligned columns.
class text_table
{
public:
    /// @param headers the names of the columns
    explicit text_table(std::vector<std::string> headers);

    /// Adds a row. It must have one cell per column.
    void add(std::vector<std::string> cells);

    /// @return the lines; each column is as wide as its widest cell
    std::string text() const;

private:
    std::vector<std::vector<std::string>> m_rows;
};

} // namespace camphortide::command_line
