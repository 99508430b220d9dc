#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <camphortide/transport/access/request_check.hpp>
#include <camphortide/transport/gateway/request_router.hpp>
#include <camphortide/v1/access.grpc.pb.h>

namespace camphortide::transport
{

/// The gRPC service for callers: checks each request, routes it to its group
/// and replies.
class access_service final : public v1::Access::CallbackService
{
public:
    using catalogue_source =
        std::function<std::shared_ptr<served_catalogue const>()>;

    /// Called for each request that has ended.
    using request_observer =
        std::function<void(checked_request const&, group_reply const&,
                           std::chrono::microseconds latency)>;

    /// @param check checks the requests; outlives this
    /// @param router routes requests to their groups; outlives this
    /// @param codec of the session tokens; outlives this
    /// @param catalogue returns the catalogue in force; null if there is none
    /// @param on_end called on any thread; may be empty
    /// @param prefix prefix of the names of transactions, unique in the system
    access_service(request_check& check, request_router& router,
                   protocol::token_codec const& codec,
                   catalogue_source catalogue, request_observer on_end,
                   std::string prefix);

    /// Refuses new requests from now on.
    void drain() { m_draining = true; }

    /// @return the number of requests that have no answer yet
    std::uint64_t in_flight() const { return m_in_flight; }

    grpc::ServerUnaryReactor* Read(grpc::CallbackServerContext* context,
                                   v1::Request const* request,
                                   v1::Reply* reply) override;

    grpc::ServerUnaryReactor* Write(grpc::CallbackServerContext* context,
                                    v1::Request const* request,
                                    v1::Reply* reply) override;

    grpc::ServerBidiReactor<v1::TransactionStep, v1::TransactionReply>*
    Transact(grpc::CallbackServerContext* context) override;

    grpc::ServerUnaryReactor* GetOutcome(grpc::CallbackServerContext* context,
                                         v1::OutcomeRequest const* request,
                                         v1::OutcomeReply* reply) override;

private:
    grpc::ServerUnaryReactor* serve(grpc::CallbackServerContext* context,
                                    v1::Request const& request,
                                    v1::Reply* reply, request_kind kind);

    /// Routes a request, and passes the answer to done.
    void
    run(checked_request checked,
        std::function<void(checked_request const&, group_reply const&)> done);

    std::string token_after(checked_request const& checked,
                            group_reply const& reply) const;

    request_check& m_check;
    request_router& m_router;
    protocol::token_codec const& m_codec;
    catalogue_source const m_catalogue;
    request_observer const m_on_end;
    std::string const m_transaction_prefix;
    std::atomic<std::uint64_t> m_last_transaction{0};
    std::atomic<bool> m_draining{false};
    std::atomic<std::uint64_t> m_in_flight{0};
};

} // namespace camphortide::transport
