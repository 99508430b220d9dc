#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <camphortide/standin/reversible_table.hpp>
#include <camphortide/state/member_status.hpp>

namespace camphortide::standin
{

/// One record of a member's log.
struct record
{
    state::term m_term;
    std::string m_key; ///< request key; may be empty
    std::vector<std::string> m_statements;
    std::string m_result;
    bool m_barrier = false; ///< a write with m_key is never executed

    friend bool operator==(record const&, record const&) = default;
};

/// Outcome of a statement.
enum class statement_code
{
    ok,
    not_primary,
    wrong_term,
    key_barred,
    failed,
    no_transaction,
    rolled_back
};

/// A member's answer to a statement.
struct statement_answer
{
    statement_code m_code = statement_code::failed;
    std::string m_result;
    state::log_position m_position;
    bool m_replayed = false;
};

/// Records of the primary's log that it sends to a replica.
struct replication_message
{
    state::term m_term; ///< term of the primary
    std::string m_primary;
    state::log_position m_previous; ///< position before the first record
    /// First index of the term of m_previous; 0 if not given.
    std::uint64_t m_previous_term_start = 0;
    std::vector<record> m_records;
};

/// Models one member: its log, its table and the terms it granted. Uses no
/// clock, thread or network; the owner delivers the messages.
class member_model
{
public:
    /// @param name the member's name in its group
    explicit member_model(std::string name);

    member_model(member_model&&) = default;
    member_model& operator=(member_model&&) = default;

    /// Grants a term if it is higher than every term granted before, or if the
    /// same proposer requests the last granted term again.
    /// @return true if granted; the member then rejects lower terms
    bool fence(state::term term, std::string const& proposer);

    /// Makes the member primary in the term that it granted to the proposer.
    /// @return true if it is primary in that term
    bool promote(state::term term, std::string const& proposer);

    /// Makes the member a replica of a primary in a term.
    /// @return false if it granted a higher term or is itself the primary
    bool follow(state::term term, std::string const& primary);

    /// Appends records from a primary and removes own records that conflict.
    /// @return the index after which the primary should continue, or nothing
    ///     if follow() rejects the primary
    std::optional<std::uint64_t> receive(replication_message const& message);

    /// Builds the message with the records after an index.
    /// @param after the last index that the replica is assumed to have
    /// @param max_records upper bound of the number of records
    /// @return the message, or nothing if the member is not primary
    std::optional<replication_message> replicate(std::uint64_t after,
                                                 std::size_t max_records) const;

    /// Applies received records to the table, up to an index.
    void apply_to(std::uint64_t index);

    /// Runs a query on the applied records.
    statement_answer read(std::string_view text) const;

    /// Runs statements as one record if the member is primary in the term.
    /// Returns the recorded result if the key ran before.
    /// @param key request key; may be empty
    statement_answer write(state::term term, std::string const& key,
                           std::vector<std::string> const& statements);

    /// Determines whether a key ran; bars it if it did not.
    /// @return ok with the recorded result, or key_barred
    statement_answer resolve(state::term term, std::string const& key);

    /// Simulates a restart: the member keeps its log and its granted term and
    /// becomes fenced.
    void restart();

    /// @return the status; fields that need a clock or a network are not set
    state::member_status status() const;

    std::string const& name() const { return m_name; }
    state::member_role role() const { return m_role; }
    /// @return the term of the primary that the member is or follows
    state::term followed() const { return m_followed; }
    std::deque<record> const& log() const { return m_log; }
    table const& rows() const { return m_table.rows(); }
    /// @return the primary that the member follows; empty if none
    std::string const& primary() const { return m_primary; }

private:
    std::optional<statement_code> write_rejection(state::term term) const;
    void append_record(record entry);
    void record_applied();
    statement_answer append_and_apply(record entry);
    std::optional<statement_answer> find_replay(std::string const& key) const;
    void truncate_to(std::uint64_t index);
    void undo_to(std::uint64_t index);
    std::uint64_t first_conflict(replication_message const& message) const;
    state::log_position last_position() const;
    state::log_position position_of(std::uint64_t index) const;
    std::uint64_t start_of_term_at(std::uint64_t index) const;

    std::string m_name;
    state::term m_granted;
    std::string m_granted_proposer;
    state::term m_followed;
    std::string m_primary;
    state::member_role m_role = state::member_role::fenced;
    std::deque<record> m_log; ///< the record of index 1 is at 0
    std::vector<state::term_start> m_term_starts;
    std::uint64_t m_applied = 0;
    reversible_table m_table;
    /// Index of the record of each applied key; the keys refer to m_log.
    std::unordered_map<std::string_view, std::uint64_t> m_key_indexes;
};

} // namespace camphortide::standin
