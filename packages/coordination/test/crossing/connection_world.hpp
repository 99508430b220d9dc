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
enum class crossing
{
    none,
    statements_mixed, ///< of two transactions, on one connection
    answer_crossed,   ///< one caller got the answer to another's statement
    effect_left       ///< a transaction that was told not executed committed
};

/// Callers with transactions over one pool, and an endpoint that delays and
/// reorders the answers of different connections, and loses connections.
class connection_world
{
public:
    connection_world(std::uint64_t seed, broken_connection_rule broken);

    /// Runs one schedule.
    /// @return the first thing that broke
    crossing run();

    std::size_t committed() const { return m_effects.size(); }

private:
    using statement = transaction_step::statement;

    struct caller
    {
        std::uint64_t m_number = 0;
        transaction m_work;
        connection_id m_connection;
        bool m_bound = true;
        std::uint64_t m_request = 0; ///< outstanding; 0: none
        bool m_left = false;
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
    void start();
    void act(caller& one);
    void leave(caller& one);
    void move_message();
    void run_statement(message value);
    statement_code run_commit(message const& value);
    void take_answer(message const& value);
    void lose_connection();
    void apply(std::uint64_t number, transaction_step const& step);
    void send(caller& one, statement kind);
    void give_back(caller& one, transaction_step::connection_use use);
    void resolve(std::uint64_t number);
    void tell(std::uint64_t number, request_result const& result);
    void settle_pool();
    bool opened_by(message const& value) const;
    void note(crossing value);
    std::size_t below(std::size_t limit) { return m_random() % limit; }
    caller* any_caller();

    std::mt19937_64 m_random;
    broken_connection_rule m_broken;
    connection_pool m_pool;
    std::map<std::uint64_t, caller> m_callers;
    std::map<std::uint64_t, std::uint64_t> m_opened; ///< by connection: caller
    std::set<std::uint64_t> m_denied;  ///< callers told not executed
    std::set<std::uint64_t> m_effects; ///< callers whose commit ran
    std::set<std::uint64_t> m_barred;  ///< callers whose commit may not run
    std::vector<message> m_messages;
    std::uint64_t m_last_caller = 0;
    std::uint64_t m_index = 0;
    state::time_point m_now;
    crossing m_found = crossing::none;
};

} // namespace camphortide::coordination
