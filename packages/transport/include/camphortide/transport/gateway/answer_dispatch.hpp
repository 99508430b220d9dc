#pragma once

#include <cstddef>
#include <optional>

#include <camphortide/coordination/request/connection_pool.hpp>
#include <camphortide/endpoint/v1/member.pb.h>
#include <camphortide/transport/gateway/group_core.hpp>
#include <camphortide/transport/gateway/member_link.hpp>
#include <camphortide/transport/gateway/read_service.hpp>
#include <camphortide/transport/gateway/transaction_service.hpp>
#include <camphortide/transport/gateway/write_service.hpp>

namespace camphortide::transport
{

/// Passes answers and losses on the members' connections to the service that
/// awaits them. Guarded by the gateway's mutex.
class answer_dispatch
{
public:
    answer_dispatch(group_core& core, read_service& reads,
                    write_service& writes, transaction_service& transactions);

    /// Handles a message received on a connection. An answer that no service
    /// awaits is dropped.
    void received(std::size_t member, coordination::connection_id connection,
                  endpoint::v1::StatementReply const& reply);

    /// Records that a connection has ended.
    /// @return the answer that was outstanding on it, if any
    std::optional<awaited_answer>
    connection_lost(std::size_t member, coordination::connection_id connection);

    /// Reports to the service that an awaited answer will not arrive.
    void answer_failed(std::size_t member, awaited_answer const& awaited);

private:
    void deliver(awaited_answer const& awaited, std::size_t member,
                 endpoint::v1::StatementReply const& reply);
    group_operation* release_slot(awaited_answer const& awaited, bool answered);

    group_core& m_core;
    read_service& m_reads;
    write_service& m_writes;
    transaction_service& m_transactions;
};

} // namespace camphortide::transport
