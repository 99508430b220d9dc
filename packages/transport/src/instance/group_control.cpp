#include <utility>

#include <camphortide/protocol/member_conversion.hpp>
#include <camphortide/transport/instance/group_control.hpp>
#include <camphortide/transport/logging/log.hpp>

namespace camphortide::transport
{

namespace
{

/// Time limit of fence, promote and follow requests.
constexpr state::duration command_timeout{500};

} // namespace

group_control::group_control(std::shared_ptr<group_gateway> gateway,
                             coordination::group_monitor monitor,
                             std::shared_ptr<control_loop> loop,
                             handlers event_handlers)
    : m_gateway(std::move(gateway)),
      m_monitor(std::move(monitor)),
      m_loop(std::move(loop)),
      m_handlers(std::move(event_handlers))
{
}

template <typename Function>
void group_control::post(Function function)
{
    m_loop->post(
        [weak = weak_from_this(), function = std::move(function)]
        {
            if (auto const self = weak.lock())
            {
                function(*self);
            }
        });
}

void group_control::tick(state::time_point now)
{
    auto const interval = m_gateway->probe_interval();
    if (std::exchange(m_probe_interval, interval) != interval)
    {
        perform(m_monitor.set_probe_interval(interval, now));
    }
    perform(m_monitor.tick(now));
    if (m_paused_by_this_home && m_other_homes_drained &&
        m_gateway->writes_drained())
    {
        perform(m_monitor.writes_drained(now));
    }
}

void group_control::status_received(state::member_status const& status)
{
    perform(m_monitor.status_received(status, state::clock::now()));
}

void group_control::member_unreachable(std::string const& member)
{
    perform(m_monitor.member_unreachable(member, state::clock::now()));
}

void group_control::request_switchover(std::string const& target)
{
    perform(m_monitor.request_switchover(target, state::clock::now()));
}

void group_control::cancel_switchover()
{
    perform(m_monitor.cancel_switchover(state::clock::now()));
}

void group_control::set_paused_by_other_home(bool paused)
{
    if (std::exchange(m_paused_by_other_home, paused) != paused)
    {
        apply_pause();
    }
}

void group_control::apply_pause()
{
    m_gateway->pause_writes(m_paused_by_this_home || m_paused_by_other_home);
}

void group_control::perform(coordination::group_actions const& actions)
{
    for (auto const& action : actions)
    {
        std::visit([this](auto const& value) { perform(value); }, action);
    }
}

void group_control::perform(coordination::send_probe const& action)
{
    m_gateway->probe(action.m_member, action.m_probe);
}

void group_control::perform(coordination::send_fence const& action)
{
    auto* const client = m_gateway->client(action.m_member);
    if (client == nullptr)
    {
        return;
    }
    endpoint::v1::FenceRequest request;
    request.set_term(action.m_term.value());
    request.set_proposer(action.m_proposer);
    client->fence(request, command_timeout,
                  [weak = weak_from_this(),
                   term = action.m_term](grpc::Status const& status,
                                         endpoint::v1::FenceReply const& reply)
                  {
                      auto const self = weak.lock();
                      if (!self || !status.ok())
                      {
                          return;
                      }
                      self->post(
                          [term, reply](group_control& control)
                          {
                              control.perform(control.m_monitor.fence_replied(
                                  term, reply.granted(),
                                  protocol::from_proto(reply.status()),
                                  state::clock::now()));
                          });
                  });
}

void group_control::perform(coordination::send_promote const& action)
{
    auto* const client = m_gateway->client(action.m_member);
    if (client == nullptr)
    {
        return;
    }
    endpoint::v1::PromoteRequest request;
    request.set_term(action.m_term.value());
    request.set_proposer(action.m_proposer);
    client->promote(
        request, command_timeout,
        [weak = weak_from_this(), term = action.m_term](
            grpc::Status const& status, endpoint::v1::ChangeReply const& reply)
        {
            auto const self = weak.lock();
            if (!self || !status.ok())
            {
                return;
            }
            self->post(
                [term, reply](group_control& control)
                {
                    control.perform(control.m_monitor.promote_replied(
                        term, reply.done(),
                        protocol::from_proto(reply.status()),
                        state::clock::now()));
                });
        });
}

void group_control::perform(coordination::send_follow const& action)
{
    auto* const client = m_gateway->client(action.m_member);
    if (client == nullptr)
    {
        return;
    }
    endpoint::v1::FollowRequest request;
    request.set_term(action.m_term.value());
    request.set_proposer(action.m_proposer);
    request.set_primary(action.m_primary);
    client->follow(
        request, command_timeout,
        [weak = weak_from_this()](grpc::Status const& status,
                                  endpoint::v1::ChangeReply const& reply)
        {
            auto const self = weak.lock();
            if (!self || !status.ok())
            {
                return;
            }
            self->post(
                [reply](group_control& control)
                {
                    control.perform(control.m_monitor.follow_replied(
                        protocol::from_proto(reply.status()),
                        state::clock::now()));
                });
        });
}

void group_control::perform(coordination::primary_changed const& action)
{
    m_gateway->set_primary(action.m_primary);
}

void group_control::perform(coordination::pause_writes const&)
{
    m_paused_by_this_home = true;
    m_other_homes_drained = !m_handlers.m_on_pause;
    apply_pause();
    if (m_handlers.m_on_pause)
    {
        m_handlers.m_on_pause(m_gateway->name(), true);
    }
}

void group_control::perform(coordination::resume_writes const&)
{
    m_paused_by_this_home = false;
    apply_pause();
    if (m_handlers.m_on_pause)
    {
        m_handlers.m_on_pause(m_gateway->name(), false);
    }
}

void group_control::perform(coordination::switchover_ended const& action)
{
    if (m_handlers.m_on_switchover)
    {
        m_handlers.m_on_switchover(m_gateway->name(), action);
    }
}

} // namespace camphortide::transport
