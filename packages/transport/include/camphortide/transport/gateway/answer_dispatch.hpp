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

/// Hands what happens on the members' connections to the service that waits
/// for it. Guarded by the gateway's mutex.
class answer_dispatch
{
public:
    answer_dispatch(group_core& core, read_service& reads,
                    write_service& writes, transaction_service& transactions);

    /// Takes a message that came on a connection. One that nobody waits for
    /// reaches nobody.
    void received(std::size_t member, coordination::connection_id connection,
                  endpoint::v1::StatementReply const& reply);

    /// Takes in that a connection has ended.
    /// @return awaited answer was outstanding on it
    std::optional<awaited_answer>
    connection_lost(std::size_t member, coordination::connection_id connection);

    /// Tells a service that its answer will not come.
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
