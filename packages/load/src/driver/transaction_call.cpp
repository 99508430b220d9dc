#include <utility>

#include <camphortide/load/driver/transaction_call.hpp>
#include <camphortide/transport/access/outcome_conversion.hpp>

namespace camphortide::load
{

transaction_call::transaction_call(v1::Request begin,
                                   planned_request const& request,
                                   answer_handler done)
    : m_begin(std::move(begin)),
      m_statements(request.m_statements),
      m_rolls_back(request.m_rolls_back),
      m_done(std::move(done))
{
}

void transaction_call::begin()
{
    v1::TransactionStep step;
    *step.mutable_begin() = m_begin;
    send(std::move(step));
}

void transaction_call::handle(v1::TransactionReply const& reply)
{
    phase now = phase::ended;
    {
        std::scoped_lock const lock(m_mutex);
        now = m_phase;
    }
    if (now == phase::ended)
    {
        return;
    }
    auto const outcome = transport::from_proto(reply.outcome());
    if (now == phase::open && outcome == state::outcome::executed)
    {
        if (m_sent > 0)
        {
            m_results.push_back(reply.result());
        }
        send_next();
        return;
    }
    // The end of the stream rolls back a transaction that is still open.
    call_answer answer;
    answer.m_from_instance = true;
    answer.m_outcome = outcome;
    answer.m_reason = static_cast<state::reason>(reply.reason());
    answer.m_result = reply.result();
    answer.m_token = reply.session_token();
    finish(std::move(answer));
    close();
}

void transaction_call::send_next()
{
    v1::TransactionStep step;
    if (m_sent < m_statements.size())
    {
        step.set_execute(m_statements[m_sent]);
        ++m_sent;
        send(std::move(step));
        return;
    }
    {
        std::scoped_lock const lock(m_mutex);
        m_phase = m_rolls_back ? phase::rolling_back : phase::committing;
    }
    if (m_rolls_back)
    {
        step.mutable_roll_back();
    }
    else
    {
        step.mutable_commit();
    }
    send(std::move(step));
}

void transaction_call::on_closed(grpc::Status const&)
{
    bool committing = false;
    {
        std::scoped_lock const lock(m_mutex);
        committing = m_phase == phase::committing;
    }
    call_answer answer;
    // Without a commit, the end of the stream means that nothing was executed.
    answer.m_outcome =
        committing ? state::outcome::unknown : state::outcome::not_executed;
    answer.m_reason = state::reason::connection_lost;
    finish(std::move(answer));
}

void transaction_call::finish(call_answer answer)
{
    {
        std::scoped_lock const lock(m_mutex);
        if (std::exchange(m_phase, phase::ended) == phase::ended)
        {
            return;
        }
    }
    answer.m_results = std::move(m_results);
    m_done(std::move(answer));
}

} // namespace camphortide::load
