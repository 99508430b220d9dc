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

/// One entry of a member's log.
struct record
{
    state::term m_term;
    std::string m_key; ///< request key; may be empty
    std::vector<std::string> m_statements;
    std::string m_result;
    bool m_barrier = false; ///< bars m_key from ever running

    friend bool operator==(record const&, record const&) = default;
};

/// How a member answered a statement.
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

/// A stretch of the primary's log on its way to a replica.
struct replication_message
{
    state::term m_term; ///< the primary's
    std::string m_primary;
    state::log_position m_previous; ///< record before the first one sent
    /// First index of the term that wrote m_previous; 0 if not stated.
    std::uint64_t m_previous_term_start = 0;
    std::vector<record> m_records;
};

/// The pure model of one member: its log, its table and the terms it granted.
/// Has no clock, no thread and no network; whoever owns it moves the messages.
class member_model
{
public:
    /// @param name the member's name in its group
    explicit member_model(std::string name);

    member_model(member_model&&) = default;
    member_model& operator=(member_model&&) = default;

    /// Grants a term if it is higher than every one granted before, or is
    /// the same one asked for again by the same proposer.
    /// @return true if granted; the member then refuses lower terms
    bool fence(state::term term, std::string const& proposer);

    /// Makes the member primary in a term that it granted to the proposer.
    /// @return true if it is primary in that term
    bool promote(state::term term, std::string const& proposer);

    /// Makes the member a replica of a primary in a term.
    /// @return true unless it granted a higher term
    bool follow(state::term term, std::string const& primary);

    /// Takes records from a primary; drops its own that conflict.
    /// @return the index after which the primary should go on, or nothing if
    ///     the term is lower than the one granted
    std::optional<std::uint64_t> receive(replication_message const& message);

    /// Builds the message that brings a replica on from an index.
    /// @param after the last_position index that the replica is thought to hold
    /// @param max_records the max_records records to send
    /// @return nothing unless the member is primary
    std::optional<replication_message> replicate(std::uint64_t after,
                                                 std::size_t max_records) const;

    /// Applies received records to the table, up to an index.
    void apply_to(std::uint64_t index);

    /// Runs a statement that reads the table as applied so far.
    statement_answer read(std::string_view text) const;

    /// Runs statements as one record if the member is primary in the term.
    /// A key that ran before gives its first result again.
    statement_answer write(state::term term, std::string const& key,
                           std::vector<std::string> const& statements);

    /// Finds out what became of a key; bars it if it has not run.
    /// @return ok with the first result, or key_barred
    statement_answer resolve(state::term term, std::string const& key);

    /// Returns the member to what it is after a restart: the log and the
    /// granted term stay, the role does not.
    void restart();

    /// @return the status without the fields that need a clock or a network
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
    std::deque<record> m_log; ///< index 1 is at 0
    std::vector<state::term_start> m_term_starts;
    std::uint64_t m_applied = 0;
    reversible_table m_table;
    /// Index of the record of each applied key; the names are the records'.
    std::unordered_map<std::string_view, std::uint64_t> m_key_indexes;
};

} // namespace camphortide::standin
