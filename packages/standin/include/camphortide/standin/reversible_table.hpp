#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include <camphortide/standin/statement_language.hpp>

namespace camphortide::standin
{

/// A table that can take back its latest steps. A step is the statements of
/// one record of a log.
class reversible_table
{
public:
    /// Steps that can be taken back.
    static constexpr std::size_t max_undo_steps = 10'000;

    /// Runs statements as one step; if one fails, none has an effect.
    /// @return the last statement's result, or the failure
    statement_result run(std::vector<std::string> const& statements);

    /// Takes the latest steps back.
    /// @return false, without an effect, if that many are not kept
    bool undo(std::size_t steps);

    /// Empties the table and forgets all steps.
    void clear();

    /// @return the rows as the steps so far left them
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
