#include <utility>
#include <variant>

#include <camphortide/protocol/catalogue_conversion.hpp>
#include <camphortide/protocol/peer_conversion.hpp>
#include <camphortide/transport/instance/catalogue_control.hpp>
#include <camphortide/transport/logging/log.hpp>

namespace camphortide::transport
{

catalogue_control::catalogue_control(
    coordination::catalogue_follower_settings const& settings,
    std::string const& self, std::uint64_t seed, peer_exchange& exchange,
    platform_client* platform, control_loop& loop,
    catalogue_handler on_catalogue)
    : m_follower(settings, self, m_codec, seed, state::clock::now()),
      m_exchange(exchange),
      m_platform(platform),
      m_loop(loop),
      m_on_catalogue(std::move(on_catalogue))
{
}

void catalogue_control::tick(state::time_point now)
{
    perform(m_follower.tick(now));
}

void catalogue_control::on_view(std::vector<state::instance_record> const& view,
                                bool joined)
{
    m_follower.on_view(view, joined);
}

void catalogue_control::on_offer(std::string const& peer,
                                 coordination::catalogue_offer const& offer)
{
    perform(m_follower.on_offer(peer, offer, state::clock::now()));
}

void catalogue_control::on_request(
    std::string const& peer, coordination::catalogue_request const& request)
{
    perform(m_follower.on_request(peer, request));
}

void catalogue_control::on_parts(std::string const& peer,
                                 coordination::catalogue_parts parts)
{
    perform(m_follower.on_parts(peer, std::move(parts), state::clock::now()));
}

void catalogue_control::perform(
    coordination::catalogue_follower::actions const& actions)
{
    for (auto const& action : actions)
    {
        std::visit([this](auto const& value) { perform(value); }, action);
    }
}

void catalogue_control::perform(coordination::start_watch const&)
{
    if (m_platform == nullptr)
    {
        return;
    }
    watch_handlers handlers;
    handlers.m_on_change = [this](platform_change const& change)
    {
        m_loop.post([this, value = change.m_object.m_value]
                    { process_head(value); });
    };
    handlers.m_on_connected = [this](bool connected)
    {
        if (!connected)
        {
            m_loop.post([this] { handle_store_failure(); });
        }
    };
    m_watch =
        m_platform->watch(std::string(coordination::catalogue_head_object), 0,
                          std::move(handlers));
}

void catalogue_control::perform(coordination::stop_watch const&)
{
    m_watch.reset();
}

void catalogue_control::perform(coordination::get_head const&)
{
    if (m_platform == nullptr)
    {
        return;
    }
    m_platform->get(std::string(coordination::catalogue_head_object),
                    [this](absl::StatusOr<platform_object> object)
                    {
                        m_loop.post(
                            [this, object = std::move(object)]
                            {
                                if (object.ok())
                                {
                                    process_head(object->m_value);
                                    return;
                                }
                                if (failure_of(object.status()) ==
                                    platform_failure::not_found)
                                {
                                    perform(m_follower.on_store_head(
                                        std::nullopt, state::clock::now()));
                                    return;
                                }
                                handle_store_failure();
                            });
                    });
}

void catalogue_control::perform(coordination::get_chunk const& action)
{
    if (m_platform == nullptr)
    {
        return;
    }
    m_platform->get(
        std::string(coordination::catalogue_chunk_prefix) + action.m_chunk,
        [this, name = action.m_chunk](absl::StatusOr<platform_object> object)
        {
            m_loop.post(
                [this, name, object = std::move(object)]
                {
                    bool const absent = failure_of(object.status()) ==
                                        platform_failure::not_found;
                    if (!object.ok() && !absent)
                    {
                        handle_store_failure();
                        return;
                    }
                    auto const bytes =
                        absent ? nullptr
                               : std::make_shared<std::string const>(
                                     object->m_value);
                    perform(m_follower.on_store_chunk(name, bytes,
                                                      state::clock::now()));
                });
        });
}

void catalogue_control::perform(coordination::send_offer const& action)
{
    peer::v1::Envelope envelope;
    *envelope.mutable_catalogue_offer() = protocol::to_proto(action.m_offer);
    m_exchange.send(action.m_peer, std::move(envelope));
}

void catalogue_control::perform(coordination::send_request const& action)
{
    peer::v1::Envelope envelope;
    *envelope.mutable_catalogue_request() =
        protocol::to_proto(action.m_request);
    m_exchange.send(action.m_peer, std::move(envelope));
}

void catalogue_control::perform(coordination::send_parts const& action)
{
    peer::v1::Envelope envelope;
    *envelope.mutable_catalogue_chunks() = protocol::to_proto(action.m_parts);
    m_exchange.send(action.m_peer, std::move(envelope));
}

void catalogue_control::perform(coordination::apply_catalogue const& action)
{
    auto value =
        coordination::assemble(action.m_head, action.m_chunks, m_codec);
    if (!value)
    {
        log_error(log_part::catalogue, "A version is damaged.",
                  {{"version", action.m_head.m_version}});
        return;
    }
    log_info(
        log_part::catalogue, "A catalogue version is in force.",
        {{"version", value->version()}, {"entries", value->entries().size()}});
    m_on_catalogue(std::make_shared<state::catalogue const>(*std::move(value)));
}

void catalogue_control::process_head(std::string const& value)
{
    auto parts = protocol::decode_head_object(value);
    if (!parts)
    {
        log_error(log_part::catalogue, "The head in the store is damaged.");
        handle_store_failure();
        return;
    }
    perform(m_follower.on_store_head(std::move(parts), state::clock::now()));
}

void catalogue_control::handle_store_failure()
{
    perform(m_follower.on_store_failed(state::clock::now()));
}

} // namespace camphortide::transport
