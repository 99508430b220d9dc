#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include <camphortide/standin/statement_language.hpp>

namespace camphortide::standin
{

/// A table that can undo its most recent steps. A step is the statements of
/// one log record.
class reversible_table
{
public:
    /// Number of steps that can be undone.
    static constexpr std::size_t max_undo_steps = 10'000;

    /// Runs statements as one step; if one fails, all are undone.
    /// @return the last statement's result, or the failure
    statement_result run(std::vector<std::string> const& statements);

    /// Undoes the most recent steps.
    /// @return false, without an effect, if fewer steps can be undone
    bool undo(std::size_t steps);

    /// Removes all rows and all steps.
    void clear();

    /// @return the current rows
    table const& rows() const { return m_rows; }

private:
    struct saved_cell
    {
        std::string m_key;
        std::optional<std::string> m_value;
    };
    using step = std::vector<saved_cell>;

    void restore(step& cells);

    table m_rows;
    std::deque<step> m_steps;
};

} // namespace camphortide::standin
