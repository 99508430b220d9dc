#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <camphortide/coordination/group/group_monitor.hpp>
#include <camphortide/transport/gateway/group_gateway.hpp>
#include <camphortide/transport/instance/control_loop.hpp>

namespace camphortide::transport
{

/// Executes the actions of one group's monitor. Used only on the control
/// thread; replies of members are posted to it.
class group_control : public std::enable_shared_from_this<group_control>
{
public:
    /// Handlers of events that concern the group's other homes or operators.
    struct handlers
    {
        /// called when every home has to pause (true) or resume (false) the
        /// group's writes
        std::function<void(std::string const& group, bool paused)> m_on_pause;
        std::function<void(std::string const& group,
                           coordination::switchover_ended const&)>
            m_on_switchover;
    };

    /// @param gateway of the group
    /// @param monitor of the group
    /// @param loop the control thread, which handles the replies of members
    group_control(std::shared_ptr<group_gateway> gateway,
                  coordination::group_monitor monitor,
                  std::shared_ptr<control_loop> loop, handlers event_handlers);

    /// Executes the monitor's actions that are due, and reports drained writes
    /// to it.
    void tick(state::time_point now);

    /// Handles a member's status.
    void status_received(state::member_status const& status);

    /// Handles the loss of the connection to a member.
    void member_unreachable(std::string const& member);

    /// Starts a planned switchover.
    /// @param target the member to promote; empty for any
    void request_switchover(std::string const& target);

    /// Cancels a planned switchover unless its promotion has begun.
    void cancel_switchover();

    /// Records that the writes of all other homes have ended.
    void other_homes_drained() { m_other_homes_drained = true; }

    /// Sets whether another home requires this home to pause writes.
    void set_paused_by_other_home(bool paused);

    coordination::group_monitor const& monitor() const { return m_monitor; }
    std::shared_ptr<group_gateway> const& gateway() const { return m_gateway; }

private:
    void perform(coordination::group_actions const& actions);
    void perform(coordination::send_probe const& action);
    void perform(coordination::send_fence const& action);
    void perform(coordination::send_promote const& action);
    void perform(coordination::send_follow const& action);
    void perform(coordination::primary_changed const& action);
    void perform(coordination::pause_writes const& action);
    void perform(coordination::resume_writes const& action);
    void perform(coordination::switchover_ended const& action);
    void apply_pause();

    /// Posts a function to the control thread; it is skipped if this object has
    /// been destroyed by then.
    template <typename Function>
    void post(Function function);

    std::shared_ptr<group_gateway> m_gateway;
    coordination::group_monitor m_monitor;
    std::shared_ptr<control_loop> m_loop;
    handlers m_handlers;
    bool m_paused_by_this_home = false;
    bool m_other_homes_drained = true;
    state::duration m_probe_interval = state::duration::max();
    bool m_paused_by_other_home = false;
};

} // namespace camphortide::transport
