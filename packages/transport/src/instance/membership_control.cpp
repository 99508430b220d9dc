#include <utility>

#include <camphortide/protocol/peer_conversion.hpp>
#include <camphortide/transport/instance/membership_control.hpp>
#include <camphortide/transport/logging/log.hpp>

namespace camphortide::transport
{

namespace
{

/// Time between two reads of the platform's list by store watchers.
constexpr state::duration list_interval{20000};
/// Time between two reads by the other instances, which need the list only to
/// count a majority.
constexpr state::duration non_watcher_list_interval{30000};
/// Time between two reads until a peer has answered.
constexpr state::duration unjoined_list_interval{500};

state::instance_record to_record(platform_instance const& listed)
{
    state::instance_record record;
    record.m_name = listed.m_name;
    record.m_data_centre = listed.m_data_centre;
    record.m_address = listed.m_address;
    record.m_state = listed.m_leaving ? state::instance_state::leaving
                                      : state::instance_state::live;
    return record;
}

} // namespace

membership_control::membership_control(coordination::membership membership,
                                       peer_exchange& exchange,
                                       platform_client* platform,
                                       control_loop& loop, view_handler on_view)
    : m_membership(std::move(membership)),
      m_exchange(exchange),
      m_platform(platform),
      m_loop(loop),
      m_on_view(std::move(on_view))
{
    m_exchange.set_self(m_membership.self());
}

void membership_control::tick(state::time_point now, bool is_watcher)
{
    send(m_membership.tick(now));
    if (!m_membership.joined())
    {
        m_list_interval = unjoined_list_interval;
    }
    else
    {
        m_list_interval =
            is_watcher ? list_interval : non_watcher_list_interval;
    }
    read_list(now);
    publish_view();
}

void membership_control::on_heartbeat(coordination::heartbeat const& message)
{
    send(m_membership.on_heartbeat(message, state::clock::now()));
    publish_view();
}

void membership_control::leave()
{
    send(m_membership.leave(state::clock::now()));
    publish_view();
}

void membership_control::send(
    std::vector<coordination::outgoing_heartbeat> const& heartbeats)
{
    for (auto const& action : heartbeats)
    {
        m_exchange.send_to_address(action.m_address,
                                   protocol::to_envelope(action.m_heartbeat));
    }
}

void membership_control::read_list(state::time_point now)
{
    if (m_platform == nullptr || m_read_pending ||
        now < m_last_list_read + m_list_interval)
    {
        return;
    }
    m_read_pending = true;
    m_platform->list_instances(
        [this](absl::StatusOr<std::vector<platform_instance>> list)
        {
            m_loop.post(
                [this, list = std::move(list)]
                {
                    auto const time = state::clock::now();
                    m_read_pending = false;
                    m_last_list_read = time;
                    if (!list.ok())
                    {
                        return;
                    }
                    std::vector<state::instance_record> records;
                    for (auto const& listed : *list)
                    {
                        records.push_back(to_record(listed));
                    }
                    m_membership.on_platform_list(records, time);
                    publish_view();
                });
        });
}

void membership_control::publish_view()
{
    auto const revision = m_membership.revision();
    if (m_published && revision == m_published_revision)
    {
        return;
    }
    m_published = true;
    m_published_revision = revision;
    m_exchange.set_self(m_membership.self());
    auto const view = m_membership.view();
    m_exchange.set_view(view);
    log_info(log_part::membership, "The membership view changed.",
             {{"instances", view.size()}});
    m_on_view(view);
}

} // namespace camphortide::transport
