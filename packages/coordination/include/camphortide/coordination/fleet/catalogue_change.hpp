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

/// One record that a change touches. The record that the operator started
/// from tells whether somebody else changed it meanwhile.
template <class Record>
struct record_change
{
    std::string m_name;
    std::optional<Record> m_before; ///< none: there was no such record
    std::optional<Record> m_after;  ///< none: the record is removed

    friend bool operator==(record_change const&,
                           record_change const&) = default;
};

using entry_change = record_change<state::catalogue_entry>;
using group_change = record_change<state::group_description>;

/// What an operator asks for: accepted or refused as a whole.
struct catalogue_change
{
    std::string m_id;       ///< unique; the same for every repeat
    std::string m_operator; ///< who asks
    std::vector<entry_change> m_entries;
    std::vector<group_change> m_groups;

    friend bool operator==(catalogue_change const&,
                           catalogue_change const&) = default;
};

/// A record that somebody else changed first.
struct catalogue_conflict
{
    std::string m_record;
    state::change_stamp m_winner; ///< empty if it is too long ago to tell
    std::vector<state::catalogue_field> m_fields; ///< differ from the start

    friend bool operator==(catalogue_conflict const&,
                           catalogue_conflict const&) = default;
};

/// What became of a change.
enum class edit_outcome
{
    pending,     ///< not known yet
    accepted,    ///< in the catalogue, and stays
    conflict,    ///< refused: somebody else changed a record first
    invalid,     ///< refused: the result would not be valid
    barred,      ///< refused: given up before by `resolve`
    damaged,     ///< refused: the stored catalogue can't be read
    unavailable, ///< refused: the store did not answer; nothing was written
    undetermined ///< the store stopped answering after the head was written
};

/// @return the outcome's name as reports print it
std::string_view to_string(edit_outcome value);

/// The result of an edit, with what explains it.
struct edit_result
{
    edit_outcome m_outcome = edit_outcome::pending;
    std::uint64_t m_version = 0; ///< of the catalogue, if accepted
    std::vector<catalogue_conflict> m_conflicts;
    std::vector<state::catalogue_problem> m_problems;

    friend bool operator==(edit_result const&, edit_result const&) = default;
};

/// Applies a change to a catalogue, without validation.
/// @param base the catalogue that is in the store
/// @param change the change
/// @param version the version of the result
/// @return the result; records that the change wrote carry its stamp
state::catalogue apply_change(state::catalogue const& base,
                              catalogue_change const& change,
                              std::uint64_t version);

/// Finds the records that somebody else changed since the operator looked.
/// @param base the catalogue that is in the store
/// @param change the change
/// @param head names who removed a record
/// @return the conflicts; empty if the change may be applied
std::vector<catalogue_conflict>
find_conflicts(state::catalogue const& base, catalogue_change const& change,
               state::catalogue_head const& head);

} // namespace camphortide::coordination
