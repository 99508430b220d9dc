#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

#include <camphortide/coordination/request/connection_pool.hpp>
#include <camphortide/coordination/request/transaction.hpp>

namespace camphortide::coordination
{

/// A rule that a test breaks on purpose, to show that the checks detect it.
enum class broken_connection_rule
{
    none,
    pool_with_answer_outstanding,
    pool_without_confirmation,
    take_any_answer
};

/// The kind of a violation.
enum class violation
{
    none,
    /// Statements of two transactions were mixed on one connection.
    statements_mixed,
    /// A caller got the answer to another caller's statement.
    answer_misdelivered,
    /// A transaction that was reported as not executed was committed.
    unexpected_commit
};

/// Simulates callers with transactions over one pool, and an endpoint that
/// delays answers, reorders those of different connections, and loses
/// connections.
class connection_simulation
{
public:
    connection_simulation(std::uint64_t seed, broken_connection_rule broken);

    /// Runs one schedule.
    /// @return the first violation
    violation run();

    std::size_t committed() const { return m_committed.size(); }

private:
    using statement = transaction_step::statement;

    struct caller
    {
        std::uint64_t m_number = 0;
        transaction m_transaction;
        connection_id m_connection;
        bool m_holds_connection = true;
        /// Outstanding request; 0: none.
        std::uint64_t m_request = 0;
        bool m_has_left = false;
    };

    /// A statement in transit, or its answer.
    struct message
    {
        connection_id m_connection;
        std::uint64_t m_request = 0;
        /// Sender of the statement, which the pool doesn't see.
        std::uint64_t m_caller = 0;
        /// none: the connection ends.
        statement m_kind = statement::none;
        bool m_is_answer = false;
        keyed_answer m_answer{};
    };

    void step();
    void start_transaction();
    void continue_transaction(caller& sender);
    void leave_caller(caller& sender);
    void deliver_message();
    void run_statement(message value);
    statement_code run_commit(message const& value);
    void handle_answer(message const& value);
    void lose_connection();
    void apply(std::uint64_t number, transaction_step const& step);
    void send(caller& sender, statement kind);
    void return_connection(caller& sender,
                           transaction_step::connection_use use);
    void resolve_commit(std::uint64_t number);
    void report_result(std::uint64_t number, request_result const& result);
    void update_pool();
    bool has_open_transaction(message const& value) const;
    void note_violation(violation value);
    std::size_t random_below(std::size_t limit) { return m_random() % limit; }
    caller* random_caller();

    std::mt19937_64 m_random;
    broken_connection_rule m_broken_rule;
    connection_pool m_pool;
    std::map<std::uint64_t, caller> m_callers;
    /// Callers by connection.
    std::map<std::uint64_t, std::uint64_t> m_open_transactions;
    /// Callers whose transaction was reported as not executed.
    std::set<std::uint64_t> m_reported_not_executed;
    /// Callers whose commit was executed.
    std::set<std::uint64_t> m_committed;
    /// Callers whose commit must not be executed.
    std::set<std::uint64_t> m_barred_callers;
    std::vector<message> m_messages;
    std::uint64_t m_last_caller = 0;
    std::uint64_t m_index = 0;
    state::time_point m_now;
    violation m_first_violation = violation::none;
};

} // namespace camphortide::coordination
