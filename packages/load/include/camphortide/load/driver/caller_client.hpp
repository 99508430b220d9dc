#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include <camphortide/load/driver/call_answer.hpp>
#include <camphortide/load/history/request_record.hpp>
#include <camphortide/v1/access.grpc.pb.h>

namespace camphortide::load
{

/// Address at which an instance serves callers.
struct caller_address
{
    std::string m_instance; ///< name
    std::string m_address;  ///< HOST:PORT

    friend auto operator<=>(caller_address const&,
                            caller_address const&) = default;
};

/// Address, credential and session token of one call.
struct call_context
{
    std::string m_address;
    std::string m_credential;
    std::string m_token;
};

/// Sends requests to instances asynchronously, over one channel per address.
/// Used on one thread; answers arrive on gRPC's threads.
class caller_client
{
public:
    using answer_handler = std::function<void(call_answer)>;

    /// Sends an attempt.
    /// @param context address, credential and session token
    /// @param attempt a read, a write or a transaction
    /// @param done is called once, on any thread
    void send(call_context const& context, request_record const& attempt,
              answer_handler done);

    /// Queries the outcome of an attempt.
    /// @param context address, credential and session token
    /// @param attempt a write with its key
    /// @param done is called once, on any thread
    void query_outcome(call_context const& context,
                       request_record const& attempt, answer_handler done);

private:
    void transact(call_context const& context, request_record const& attempt,
                  answer_handler done);
    v1::Access::Stub& stub(std::string const& address);

    std::map<std::string, std::unique_ptr<v1::Access::Stub>> m_stubs;
};

} // namespace camphortide::load
