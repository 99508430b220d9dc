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

/// A rule that a test breaks on purpose, to show that the checks see it.
enum class broken_connection_rule
{
    none,
    pool_with_answer_outstanding,
    pool_without_confirmation,
    take_any_answer
};

/// What broke.
enum class violation
{
    none,
    statements_mixed,    ///< of two transactions, on one connection
    answer_misdelivered, ///< one caller got the answer to another's statement
    unexpected_commit    ///< a transaction that was told not executed committed
};

/// Callers with transactions over one pool, and an endpoint that delays and
/// reorders the answers of different connections, and loses connections.
class connection_simulation
{
public:
    connection_simulation(std::uint64_t seed, broken_connection_rule broken);

    /// Runs one schedule.
    /// @return the first thing that broke
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
        std::uint64_t m_request = 0; ///< outstanding; 0: none
        bool m_has_left = false;
    };

    /// A statement on its way, or its answer.
    struct message
    {
        connection_id m_connection;
        std::uint64_t m_request = 0;
        std::uint64_t m_caller = 0; ///< who sent it; the endpoint's secret
        statement m_kind = statement::none; ///< none: the connection ends
        bool m_is_answer = false;
        keyed_answer m_answer{};
    };

    void step();
    void start_transaction();
    void continue_transaction(caller& target);
    void leave_caller(caller& target);
    void deliver_message();
    void run_statement(message value);
    statement_code run_commit(message const& value);
    void handle_answer(message const& value);
    void lose_connection();
    void apply(std::uint64_t number, transaction_step const& step);
    void send(caller& target, statement kind);
    void return_connection(caller& target,
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
    std::map<std::uint64_t, std::uint64_t>
        m_open_transactions; ///< by connection: caller
    std::set<std::uint64_t>
        m_reported_not_executed;         ///< callers told not executed
    std::set<std::uint64_t> m_committed; ///< callers whose commit ran
    std::set<std::uint64_t>
        m_barred_callers; ///< callers whose commit may not run
    std::vector<message> m_messages;
    std::uint64_t m_last_caller = 0;
    std::uint64_t m_index = 0;
    state::time_point m_now;
    violation m_first_violation = violation::none;
};

} // namespace camphortide::coordination
