#pragma once

#include <compare>
#include <cstddef>
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

/// How another log relates to a log with a known history.
enum class log_relation
{
    /// Its records are all in the log, or it continues the log.
    included,
    /// It ends in a record that isn't in the log: a promotion discarded it.
    diverged,
    /// The history doesn't reach back to its last record.
    unknown
};

/// Maps ranges of a log to the terms that wrote them. Used to check whether a
/// position that was seen under an earlier primary is still part of the log.
///
/// The terms of a log ascend, and each term has one primary, so that the
/// position of a log's last record determines the whole log.
class term_history
{
public:
    /// Maximum number of starts that continued() keeps.
    static constexpr std::size_t max_starts = 32;

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

    /// @return true if it is known where the log's records of a term begin and
    ///     no later term has written to the log
    bool describes(term latest) const;

    /// Compares another log with this one. Unlike contains(), takes nothing for
    /// granted before the oldest start.
    /// @param last the other log's last record
    /// @param latest the latest term that this log's history is to describe
    log_relation relation_of(log_position const& last, term latest) const;

    /// Describes the log of a member that was promoted.
    /// @param last the member's last record, as reported in the new term. If it
    ///     is of that term already, the start of the term isn't known, and the
    ///     history begins with that record. A record before the true last one
    ///     is safe: records that it misses count as discarded.
    /// @param next the new term
    /// @return the history of the member's log
    term_history continued(log_position const& last, term next) const;

    /// @return the starts, oldest first
    std::vector<term_start> const& starts() const { return m_starts; }

    friend auto operator<=>(term_history const&, term_history const&) = default;

private:
    std::vector<term_start> m_starts;
};

} // namespace camphortide::state
