#pragma once

#include <functional>
#include <mutex>
#include <string>
#include <vector>

#include <camphortide/load/driver/call_answer.hpp>
#include <camphortide/load/history/request_record.hpp>
#include <camphortide/transport/client_stream.hpp>
#include <camphortide/v1/access.pb.h>

namespace camphortide::load
{

/// A caller's transaction on its own stream: begins it, sends the statements
/// one after another, then commits or rolls back.
class transaction_call final
    : public transport::client_stream<v1::TransactionStep, v1::TransactionReply>
{
public:
    using answer_handler = std::function<void(call_answer)>;

    /// Create it with make_shared, then call start() and begin().
    /// @param begin the first step
    /// @param request the statements, and whether to roll back
    /// @param done is called once, on any thread
    transaction_call(v1::Request begin, planned_request const& request,
                     answer_handler done);

    /// Sends the first step.
    void begin();

private:
    enum class phase
    {
        open,
        committing,
        rolling_back,
        ended
    };

    void handle(v1::TransactionReply const& reply) override;
    void on_closed(grpc::Status const& status) override;
    void send_next();
    void finish(call_answer answer);

    v1::Request const m_begin;
    std::vector<std::string> const m_statements;
    bool const m_rolls_back;
    answer_handler const m_done;
    std::mutex m_mutex; ///< guards m_phase
    phase m_phase = phase::open;
    std::size_t m_sent = 0; ///< number of statements sent
    std::vector<std::string> m_results;
};

} // namespace camphortide::load
