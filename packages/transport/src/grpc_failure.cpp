#include <string>

#include <camphortide/transport/grpc_failure.hpp>

namespace camphortide::transport
{

grpc::StatusCode status_code(state::reason why)
{
    using state::reason;
    switch (why)
    {
    case reason::rate_limit:
    case reason::concurrency_limit:
    case reason::queue_full:
        return grpc::StatusCode::RESOURCE_EXHAUSTED;
    case reason::deadline_too_short:
    case reason::deadline_exceeded:
        return grpc::StatusCode::DEADLINE_EXCEEDED;
    case reason::no_primary:
    case reason::no_replica:
    case reason::connection_lost:
    case reason::draining:
    case reason::no_home:
    case reason::no_catalogue:
    case reason::too_old:
        return grpc::StatusCode::UNAVAILABLE;
    case reason::term_superseded:
    case reason::key_barred:
    case reason::transaction_lost:
        return grpc::StatusCode::ABORTED;
    case reason::statement_failed:
        return grpc::StatusCode::FAILED_PRECONDITION;
    case reason::unknown_entry:
        return grpc::StatusCode::NOT_FOUND;
    case reason::bad_credential:
        return grpc::StatusCode::UNAUTHENTICATED;
    case reason::wrong_customer:
        return grpc::StatusCode::PERMISSION_DENIED;
    case reason::key_conflict:
        return grpc::StatusCode::ALREADY_EXISTS;
    case reason::bad_token:
    case reason::bad_request:
    case reason::too_large:
        return grpc::StatusCode::INVALID_ARGUMENT;
    case reason::cancelled:
        return grpc::StatusCode::CANCELLED;
    case reason::none:
    case reason::internal:
        break;
    }
    return grpc::StatusCode::INTERNAL;
}

grpc::Status to_status(v1::Failure const& failure)
{
    auto const why = static_cast<state::reason>(failure.reason());
    std::string const message = failure.detail().empty()
                                    ? std::string(state::to_string(why))
                                    : failure.detail();
    bool const unknown = failure.outcome() == v1::OUTCOME_UNKNOWN &&
                         why != state::reason::deadline_exceeded;
    return {unknown ? grpc::StatusCode::UNKNOWN : status_code(why), message,
            failure.SerializeAsString()};
}

} // namespace camphortide::transport
