#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <string>

#include <camphortide/transport/access/request_check.hpp>
#include <camphortide/transport/gateway/request_router.hpp>
#include <camphortide/transport/server_stream.hpp>
#include <camphortide/v1/access.pb.h>

namespace camphortide::transport
{

/// A caller's transaction on a stream of its own. If the stream ends without a
/// commit, the transaction is rolled back. The steps run in order, one at a
/// time.
class transaction_stream final
    : public server_stream<v1::TransactionStep, v1::TransactionReply>
{
public:
    /// Callbacks to the service that owns the stream.
    struct service_callbacks
    {
        /// Checks the first step.
        std::function<std::variant<checked_request, v1::Failure>(
            v1::Request const&)>
            m_check;
        /// Builds the session token after a commit.
        std::function<std::string(checked_request const&, group_reply const&)>
            m_token;
        /// Called once, when the transaction has its final answer.
        std::function<void(checked_request const&, group_reply const&)>
            m_on_end;
        /// Called once, when the stream is destroyed.
        std::function<void()> m_on_close;
    };

    /// @param name name of the transaction, unique in the system
    /// @param router outlives this
    transaction_stream(std::string name, request_router& router,
                       service_callbacks callbacks);
    ~transaction_stream() override;

private:
    enum class phase
    {
        idle,    ///< no begin was accepted yet
        open,    ///< waits for a step of the caller
        running, ///< a step is outstanding
        ended
    };

    void handle(v1::TransactionStep const& step) override;
    void on_end() override;
    void begin(v1::Request const& request);
    void run(request_kind kind, std::string statement);
    void answered(request_kind kind, group_reply const& reply);
    void refuse(state::reason reason);
    void abandon();
    static bool ends_transaction(request_kind kind, group_reply const& reply);

    std::string const m_name;
    request_router& m_router;
    service_callbacks const m_callbacks;
    std::mutex m_mutex;
    phase m_phase = phase::idle;
    checked_request m_begin;
    std::string m_home;
    bool m_caller_left = false; ///< the caller has ended the stream
};

} // namespace camphortide::transport
