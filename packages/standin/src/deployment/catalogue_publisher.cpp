#include <utility>
#include <variant>

#include <camphortide/coordination/fleet/catalogue_edit.hpp>
#include <camphortide/protocol/catalogue_conversion.hpp>
#include <camphortide/protocol/protobuf_catalogue_codec.hpp>
#include <camphortide/standin/deployment/catalogue_publisher.hpp>

namespace camphortide::standin
{

namespace
{

/// Performs the actions of one edit synchronously.
class publisher
{
public:
    publisher(platform_standin& platform, coordination::catalogue_edit& edit)
        : m_platform(platform),
          m_edit(edit)
    {
    }

    void run()
    {
        auto pending = m_edit.tick(state::clock::now());
        while (!pending.empty())
        {
            actions next;
            for (auto const& action : pending)
            {
                auto more = std::visit([this](auto const& value)
                                       { return perform(value); },
                                       action);
                next.insert(next.end(), more.begin(), more.end());
            }
            pending = std::move(next);
        }
    }

private:
    using actions = coordination::catalogue_edit::actions;

    actions perform(coordination::read_head const&)
    {
        auto const object =
            m_platform.get(std::string(coordination::catalogue_head_object));
        return object ? m_edit.on_head(
                            object->m_version,
                            protocol::decode_head_object(object->m_value))
                      : m_edit.on_head(0, std::nullopt);
    }

    actions perform(coordination::read_chunk const& action)
    {
        auto const object = m_platform.get(path_of(action.m_chunk));
        return m_edit.on_chunk(
            action.m_chunk,
            object ? std::make_shared<std::string const>(object->m_value)
                   : nullptr);
    }

    actions perform(coordination::create_chunk const& action)
    {
        return m_edit.on_chunk_created(
            put(path_of(action.m_chunk), 0, *action.m_bytes),
            state::clock::now());
    }

    actions perform(coordination::write_head const& action)
    {
        return m_edit.on_head_written(
            put(std::string(coordination::catalogue_head_object),
                action.m_if_version,
                protocol::encode_head_object(action.m_parts)),
            state::clock::now());
    }

    actions perform(coordination::remove_chunk const&) { return {}; }

    coordination::write_reply put(std::string const& name,
                                  std::uint64_t if_version, std::string value)
    {
        auto const result = m_platform.put(name, if_version, std::move(value));
        return std::holds_alternative<object_change>(result)
                   ? coordination::write_reply::done
                   : coordination::write_reply::conflict;
    }

    static std::string path_of(std::string const& chunk)
    {
        return std::string(coordination::catalogue_chunk_prefix) + chunk;
    }

    platform_standin& m_platform;
    coordination::catalogue_edit& m_edit;
};

} // namespace

coordination::edit_result
publish_change(platform_standin& platform,
               coordination::catalogue_change const& change)
{
    protocol::protobuf_catalogue_codec const codec;
    coordination::catalogue_edit edit(
        {}, change, coordination::catalogue_edit::purpose::apply, codec,
        state::clock::now());
    publisher(platform, edit).run();
    return edit.result();
}

coordination::catalogue_change initial_change(state::catalogue const& value,
                                              std::string id)
{
    coordination::catalogue_change change;
    change.m_id = std::move(id);
    change.m_operator = "deployment";
    for (auto const& entry : value.entries())
    {
        change.m_entries.push_back({entry.m_name, std::nullopt, entry});
    }
    for (auto const& group : value.groups())
    {
        change.m_groups.push_back({group.m_name, std::nullopt, group});
    }
    return change;
}

} // namespace camphortide::standin
