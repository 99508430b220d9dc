#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include <camphortide/coordination/request/transaction.hpp>
#include <camphortide/transport/gateway/group_core.hpp>

namespace camphortide::transport
{

/// Runs the transactions of one group, each on a connection of its own.
class transaction_service
{
public:
    /// @param core outlives this
    explicit transaction_service(group_core& core);

    /// Begins a transaction whose request was admitted.
    void begin(group_operation& operation);

    /// Runs a later step of a transaction.
    void step(group_operation& operation);

    /// Handles the primary's answer to a statement of a transaction.
    void answered(std::uint64_t transaction,
                  endpoint::v1::StatementReply const& reply);

    /// Handles the loss of a transaction's connection.
    void connection_lost(std::uint64_t transaction);

    /// Handles the loss of a connection on which no answer was awaited. It may
    /// belong to a transaction between two of its steps, or to none.
    void connection_closed(std::size_t member,
                           coordination::connection_id connection);

    /// Handles changes of the log, and sends waiting statements.
    void advance();

    /// Ends transactions that have reached their deadline.
    void expire();

    /// @return the number of transactions that are open or ending
    std::size_t open() const { return m_open.size(); }

    /// Sets the maximum number of transactions open at a time.
    void set_max_open(std::size_t max_open) { m_max_open = max_open; }

private:
    struct open_transaction
    {
        std::string m_name;
        coordination::transaction m_state_machine;
        std::size_t m_member = 0;
        std::optional<coordination::connection_id> m_connection;
        std::uint64_t m_operation = 0; ///< the latest step of the caller
        std::string m_statement;       ///< of that step
        std::string m_key;
        std::string m_result;
        bool m_resolving = false; ///< m_connection was acquired for RESOLVE
        bool m_resolve_pending = false;
    };

    void apply(std::uint64_t id, coordination::transaction_step const& step);
    void use_connection(open_transaction& open,
                        coordination::transaction_step::connection_use use);
    void send(std::uint64_t id, open_transaction& open,
              coordination::transaction_step::statement statement);
    void send_resolve(std::uint64_t id, open_transaction& open);
    void answer(open_transaction& open,
                coordination::transaction_step const& step);
    void end_resolve(open_transaction& open, bool clean);
    bool start(group_operation& operation);

    group_core& m_core;
    std::map<std::uint64_t, open_transaction> m_open;
    std::map<std::string, std::uint64_t, std::less<>> m_names;
    std::vector<std::uint64_t> m_waiting; ///< not begun yet
    std::uint64_t m_last_id = 0;
    std::size_t m_max_open = 1;
    coordination::log_view m_last_log_view;
};

} // namespace camphortide::transport
