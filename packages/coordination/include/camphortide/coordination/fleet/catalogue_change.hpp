#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <camphortide/state/catalogue.hpp>
#include <camphortide/state/catalogue_difference.hpp>
#include <camphortide/state/catalogue_head.hpp>
#include <camphortide/state/catalogue_problem.hpp>

namespace camphortide::coordination
{

/// The change of one record. `m_before` is the version that the operator
/// edited; comparing it with the stored record shows whether another change was
/// accepted in between.
template <class Record>
struct record_change
{
    std::string m_name;
    std::optional<Record> m_before; ///< none: the record did not exist
    std::optional<Record> m_after;  ///< none: the record is removed

    friend bool operator==(record_change const&,
                           record_change const&) = default;
};

using entry_change = record_change<state::catalogue_entry>;
using group_change = record_change<state::group_description>;

/// A change that an operator requests. It is accepted or refused as a whole.
struct catalogue_change
{
    std::string m_id;       ///< unique; the same in each retry
    std::string m_operator; ///< the operator who requests the change
    std::vector<entry_change> m_entries;
    std::vector<group_change> m_groups;

    friend bool operator==(catalogue_change const&,
                           catalogue_change const&) = default;
};

/// A record that another accepted change has modified first.
struct catalogue_conflict
{
    std::string m_record;
    /// Of that change; empty if no longer in the history.
    state::change_stamp m_winner;
    /// Fields that differ from `m_before`.
    std::vector<state::catalogue_field> m_fields;

    friend bool operator==(catalogue_conflict const&,
                           catalogue_conflict const&) = default;
};

/// The outcome of a change.
enum class edit_outcome
{
    pending,     ///< not known yet
    accepted,    ///< part of the catalogue
    conflict,    ///< refused: another change modified a record first
    invalid,     ///< refused: the resulting catalogue is invalid
    barred,      ///< refused: a `resolve` has barred this change
    damaged,     ///< refused: the stored catalogue is unreadable
    unavailable, ///< refused: no answer from the store; nothing was written
    /// No answer from the store after a write of the head was sent.
    undetermined
};

/// @return the name of the outcome as printed in reports
std::string_view to_string(edit_outcome value);

/// The result of an edit, with the reasons for a refusal.
struct edit_result
{
    edit_outcome m_outcome = edit_outcome::pending;
    std::uint64_t m_version = 0; ///< version of the catalogue, if accepted
    std::vector<catalogue_conflict> m_conflicts;
    std::vector<state::catalogue_problem> m_problems;

    friend bool operator==(edit_result const&, edit_result const&) = default;
};

/// Applies a change to a catalogue, without validation.
/// @param base the catalogue in the store
/// @param change the change
/// @param version the version of the result
/// @return the resulting catalogue; records that the change wrote carry its
///     stamp
state::catalogue apply_change(state::catalogue const& base,
                              catalogue_change const& change,
                              std::uint64_t version);

/// Finds the records that other changes have modified since the operator read
/// them.
/// @param base the catalogue in the store
/// @param change the change
/// @param head its history tells which change removed a record
/// @return the conflicts; empty if the change can be applied
std::vector<catalogue_conflict>
find_conflicts(state::catalogue const& base, catalogue_change const& change,
               state::catalogue_head const& head);

} // namespace camphortide::coordination
