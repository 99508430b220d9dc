#include <camphortide/load/trace/monitor_input.hpp>

namespace camphortide::load
{

namespace
{

/// Calls the function of the monitor that handles each kind of input.
class input_dispatcher
{
public:
    input_dispatcher(coordination::group_monitor& monitor,
                     state::time_point now)
        : m_monitor(monitor),
          m_now(now)
    {
    }

    auto operator()(tick_input const&) { return m_monitor.tick(m_now); }

    auto operator()(status_input const& input)
    {
        return m_monitor.status_received(input.m_status, m_now);
    }

    auto operator()(unreachable_input const& input)
    {
        return m_monitor.member_unreachable(input.m_member, m_now);
    }

    auto operator()(fence_input const& input)
    {
        return m_monitor.fence_replied(input.m_term, input.m_granted,
                                       input.m_status, m_now);
    }

    auto operator()(promote_input const& input)
    {
        return m_monitor.promote_replied(input.m_term, input.m_done,
                                         input.m_status, m_now);
    }

    auto operator()(follow_input const& input)
    {
        return m_monitor.follow_replied(input.m_status, m_now);
    }

    auto operator()(switchover_input const& input)
    {
        return m_monitor.request_switchover(input.m_target, m_now);
    }

    auto operator()(cancel_input const&)
    {
        return m_monitor.cancel_switchover(m_now);
    }

    auto operator()(drained_input const&)
    {
        return m_monitor.writes_drained(m_now);
    }

private:
    coordination::group_monitor& m_monitor;
    state::time_point m_now;
};

} // namespace

coordination::group_actions step(coordination::group_monitor& monitor,
                                 monitor_input const& input,
                                 state::time_point now)
{
    return std::visit(input_dispatcher(monitor, now), input);
}

} // namespace camphortide::load
