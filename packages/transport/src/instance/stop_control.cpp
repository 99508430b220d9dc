#include <utility>
#include <variant>

#include <camphortide/protocol/stop_conversion.hpp>
#include <camphortide/transport/instance/stop_control.hpp>
#include <camphortide/transport/logging/log.hpp>

namespace camphortide::transport
{

stop_control::stop_control(std::string const& self, std::uint64_t seed,
                           peer_exchange& exchange, platform_client* platform,
                           control_loop& loop)
    : m_follower({}, self, seed, state::clock::now()),
      m_exchange(exchange),
      m_platform(platform),
      m_loop(loop)
{
}

void stop_control::tick(state::time_point now)
{
    perform(m_follower.tick(now));
}

void stop_control::on_view(std::vector<state::instance_record> const& view,
                           bool is_watcher, std::size_t watchers)
{
    m_follower.on_view(view, is_watcher, watchers);
    if (!is_watcher)
    {
        m_watch.reset();
    }
    else if (!m_watch)
    {
        watch_store();
    }
}

void stop_control::watch_store()
{
    if (m_platform == nullptr)
    {
        return;
    }
    watch_handlers handlers;
    handlers.m_on_change = [this](platform_change const&)
    {
        m_loop.post([this]
                    { m_follower.on_store_changed(state::clock::now()); });
    };
    m_watch = m_platform->watch(std::string(coordination::stop_prefix), 0,
                                std::move(handlers));
}

void stop_control::on_peer_version(std::string const& peer,
                                   std::uint64_t version)
{
    perform(m_follower.on_peer_version(peer, version, state::clock::now()));
}

void stop_control::on_stops(state::stop_list list)
{
    perform(m_follower.on_stops(std::move(list)));
}

void stop_control::on_request(std::string const& peer)
{
    perform(m_follower.on_request(peer));
}

void stop_control::report(std::vector<coordination::stop_report> const& reports)
{
    for (auto const& report : reports)
    {
        auto const& stop = report.m_stop;
        if (m_platform == nullptr || !m_pending_writes.insert(stop.m_id).second)
        {
            continue;
        }
        m_platform->put(
            std::string(coordination::stop_prefix) + stop.m_id,
            stop.m_object_version, protocol::encode_stop_object(stop),
            [this, id = stop.m_id](absl::StatusOr<platform_object> const&)
            {
                m_loop.post(
                    [this, id]
                    {
                        m_pending_writes.erase(id);
                        m_follower.on_store_changed(state::clock::now());
                    });
            });
    }
}

void stop_control::perform(
    coordination::stop_list_follower::actions const& actions)
{
    for (auto const& action : actions)
    {
        std::visit([this](auto const& value) { perform(value); }, action);
    }
}

void stop_control::perform(coordination::list_stops const&)
{
    if (m_platform == nullptr)
    {
        return;
    }
    m_platform->list(std::string(coordination::stop_prefix),
                     [this](absl::StatusOr<platform_objects> objects)
                     {
                         m_loop.post(
                             [this, objects = std::move(objects)]
                             {
                                 if (objects.ok())
                                 {
                                     process_objects(*objects);
                                     return;
                                 }
                                 m_follower.on_store_failed(
                                     state::clock::now());
                             });
                     });
}

void stop_control::process_objects(platform_objects const& objects)
{
    state::stop_list list;
    list.m_version = objects.m_version;
    for (auto const& object : objects.m_objects)
    {
        auto stop =
            protocol::decode_stop_object(object.m_value, object.m_version);
        if (!stop)
        {
            log_error(log_part::homes, "A planned stop is damaged.",
                      {{"object", object.m_name}});
            continue;
        }
        list.m_stops.push_back(*std::move(stop));
    }
    perform(m_follower.on_store_list(std::move(list), state::clock::now()));
}

void stop_control::perform(coordination::send_stops const& action)
{
    peer::v1::Envelope envelope;
    *envelope.mutable_stop_list() = protocol::to_proto(action.m_list);
    m_exchange.send(action.m_peer, std::move(envelope));
}

void stop_control::perform(coordination::request_stops const& action)
{
    peer::v1::Envelope envelope;
    envelope.mutable_stops_request();
    m_exchange.send(action.m_peer, std::move(envelope));
}

} // namespace camphortide::transport
