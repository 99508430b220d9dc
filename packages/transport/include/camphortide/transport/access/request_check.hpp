#pragma once

#include <atomic>
#include <cstddef>
#include <memory>
#include <string>
#include <variant>

#include <grpcpp/grpcpp.h>

#include <camphortide/protocol/token_codec.hpp>
#include <camphortide/transport/access/served_catalogue.hpp>
#include <camphortide/transport/gateway/group_request.hpp>
#include <camphortide/v1/access.pb.h>

namespace camphortide::transport
{

/// A caller's request that has passed every check.
struct checked_request
{
    group_request m_request;
    state::session_token m_token;
    std::string m_caller_key;           ///< as the caller sent it; may be empty
    class_metrics* m_metrics = nullptr; ///< of the entry's class
};

/// Checks callers' requests and converts them into group requests.
class request_check
{
public:
    /// @param codec of the session tokens; outlives this
    /// @param max_statement_bytes maximum size of a statement, in bytes
    /// @param instance the instance's name, part of the keys generated for
    ///     writes that have none
    request_check(protocol::token_codec const& codec,
                  std::size_t max_statement_bytes, std::string const& instance);

    /// Checks a read or write.
    /// @param context with the credential and the caller's gRPC deadline
    /// @param serving the catalogue in force; null if there is none yet
    /// @param kind read, write or resolve
    /// @param now the time of arrival
    /// @return the request, or a failure with the outcome "not executed"
    std::variant<checked_request, v1::Failure>
    check(grpc::CallbackServerContext const& context,
          std::shared_ptr<served_catalogue const> const& serving,
          v1::Request const& request, request_kind kind, state::time_point now);

    /// Checks an outcome query for a request key.
    std::variant<checked_request, v1::Failure>
    check(grpc::CallbackServerContext const& context,
          std::shared_ptr<served_catalogue const> const& serving,
          v1::OutcomeRequest const& request, state::time_point now);

private:
    std::string new_key();

    protocol::token_codec const& m_codec;
    std::size_t const m_max_statement_bytes;
    std::string const m_key_prefix;
    std::atomic<std::uint64_t> m_last_key{0};
};

/// Builds the failure of a request that was not executed.
v1::Failure not_executed(state::reason reason, std::string detail = {});

} // namespace camphortide::transport
