#pragma once

#include <string>
#include <vector>

namespace camphortide::command_line
{

/// Rows of cells that are printed in columns.
class text_table
{
public:
    /// @param heads the names of the columns
    explicit text_table(std::vector<std::string> headers);

    /// Adds a row of as many cells as there are heads.
    void add(std::vector<std::string> cells);

    /// @return the lines, each as wide as its cells need
    std::string text() const;

private:
    std::vector<std::vector<std::string>> m_rows;
};

} // namespace camphortide::command_line
