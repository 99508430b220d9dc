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

/// Where an instance serves callers.
struct caller_address
{
    std::string m_instance; ///< its name
    std::string m_address;  ///< HOST:PORT

    friend auto operator<=>(caller_address const&,
                            caller_address const&) = default;
};

/// What one call carries besides the request.
struct call_context
{
    std::string m_address;
    std::string m_credential;
    std::string m_token;
};

/// Sends requests to instances without waiting for the answers. One channel
/// to each address. Used on one thread; answers come on gRPC's threads.
class caller_client
{
public:
    using answer_handler = std::function<void(call_answer)>;

    /// Sends an attempt.
    /// @param context where to and who asks
    /// @param attempt a read, a write or a transaction
    /// @param done is called once, on any thread
    void send(call_context const& context, request_record const& attempt,
              answer_handler done);

    /// Asks what became of an attempt.
    /// @param context where to and who asks
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
