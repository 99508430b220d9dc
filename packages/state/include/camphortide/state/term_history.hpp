#pragma once

#include <compare>
#include <vector>

#include <camphortide/state/log_position.hpp>

namespace camphortide::state
{

/// The index of the first record that was written in a term.
struct term_start
{
    term m_term;
    std::uint64_t m_first_index = 0;

    friend constexpr auto operator<=>(term_start const&,
                                      term_start const&) = default;
};

/// Maps ranges of a log to the terms that wrote them. Used to check whether a
/// position that was seen under an earlier primary is still part of the log.
class term_history
{
public:
    term_history() = default;

    /// @param starts in ascending order of term and index; the oldest terms may
    ///     be left out
    explicit term_history(std::vector<term_start> starts);

    /// Checks whether a log with this history holds a record.
    /// @param position the record's term and index
    /// @param last the log's last record
    /// @return true if the record is in the log. Records before the oldest
    ///     start count as present, because only starts whose earlier records
    ///     are safe are left out
    bool contains(log_position const& position, log_position const& last) const;

    /// @return the starts, oldest first
    std::vector<term_start> const& starts() const { return m_starts; }

    friend auto operator<=>(term_history const&, term_history const&) = default;

private:
    std::vector<term_start> m_starts;
};

} // namespace camphortide::state
