#include "observe_stream.hpp"

#include <memory>

namespace camphortide::standin
{

void observe_stream::push()
{
    if (m_sending)
    {
        m_due = true;
        return;
    }
    m_sending = true;
    m_member.after_network_delay([self = shared_from_this(), this]
                                 { send_status(); });
}

void observe_stream::send_status()
{
    m_member.when_reachable(
        [self = shared_from_this(), this]
        {
            m_due = false;
            send(m_member.status_message(m_probe));
        });
}

void observe_stream::handle(endpoint::v1::Probe const& request)
{
    m_member.after_network_delay(
        [self = shared_from_this(), this, probe = request.probe()]
        {
            m_member.when_reachable(
                [self, this, probe]
                {
                    m_member.count_probe();
                    m_probe = probe;
                    push();
                });
        });
}

void observe_stream::on_end()
{
    m_member.remove_stream(
        std::static_pointer_cast<observe_stream>(shared_from_this()));
}

void observe_stream::on_sent()
{
    m_member.run_locked(
        [this]
        {
            m_sending = false;
            if (m_due)
            {
                push();
            }
        });
}

} // namespace camphortide::standin
