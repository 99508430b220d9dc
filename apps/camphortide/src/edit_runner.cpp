#include "edit_runner.hpp"

#include <chrono>
#include <deque>
#include <memory>
#include <thread>
#include <utility>
#include <variant>

#include <camphortide/protocol/catalogue_conversion.hpp>
#include <camphortide/protocol/protobuf_catalogue_codec.hpp>

namespace camphortide::command_line
{

namespace
{

using coordination::catalogue_edit;
using coordination::write_reply;
using transport::failure_of;
using transport::platform_failure;

constexpr std::chrono::milliseconds tick_interval{20};

std::string chunk_object(std::string const& chunk)
{
    return std::string(coordination::catalogue_chunk_prefix) + chunk;
}

template <typename Value>
write_reply to_write_reply(absl::StatusOr<Value> const& result)
{
    if (result.ok())
    {
        return write_reply::done;
    }
    return failure_of(result.status()) == platform_failure::conflict
               ? write_reply::conflict
               : write_reply::lost;
}

/// Executes the actions of an edit and passes the replies to it.
class edit_runner
{
public:
    using actions = catalogue_edit::actions;

    edit_runner(blocking_platform_client& platform, catalogue_edit& edit)
        : m_platform(platform),
          m_edit(edit)
    {
    }

    actions operator()(coordination::read_head const&)
    {
        auto const object =
            m_platform.get(std::string(coordination::catalogue_head_object));
        if (failure_of(object.status()) == platform_failure::not_found)
        {
            return m_edit.on_head(0, std::nullopt);
        }
        if (!object.ok())
        {
            return m_edit.on_read_failed(state::clock::now());
        }
        auto parts = protocol::decode_head_object(object->m_value);
        m_damaged = !parts.has_value();
        if (m_damaged)
        {
            return {};
        }
        return m_edit.on_head(object->m_version, std::move(parts));
    }

    actions operator()(coordination::read_chunk const& action)
    {
        auto const object = m_platform.get(chunk_object(action.m_chunk));
        if (object.ok())
        {
            return m_edit.on_chunk(
                action.m_chunk,
                std::make_shared<std::string const>(object->m_value));
        }
        if (failure_of(object.status()) == platform_failure::not_found)
        {
            return m_edit.on_chunk(action.m_chunk, nullptr);
        }
        return m_edit.on_read_failed(state::clock::now());
    }

    actions operator()(coordination::create_chunk const& action)
    {
        auto const result =
            m_platform.put(chunk_object(action.m_chunk), 0, *action.m_bytes);
        return m_edit.on_chunk_created(to_write_reply(result),
                                       state::clock::now());
    }

    actions operator()(coordination::write_head const& action)
    {
        auto const result = m_platform.put(
            std::string(coordination::catalogue_head_object),
            action.m_if_version, protocol::encode_head_object(action.m_parts));
        return m_edit.on_head_written(to_write_reply(result),
                                      state::clock::now());
    }

    actions operator()(coordination::remove_chunk const& action)
    {
        auto const name = chunk_object(action.m_chunk);
        auto const object = m_platform.get(name);
        if (object.ok())
        {
            // A chunk that is not removed only takes up space.
            m_platform.erase(name, object->m_version).IgnoreError();
        }
        return {};
    }

    /// @return whether the stored head cannot be decoded
    bool damaged() const { return m_damaged; }

private:
    blocking_platform_client& m_platform;
    catalogue_edit& m_edit;
    bool m_damaged = false;
};

} // namespace

coordination::edit_result run_edit(blocking_platform_client& platform,
                                   coordination::catalogue_change const& change,
                                   catalogue_edit::purpose purpose)
{
    protocol::protobuf_catalogue_codec const codec;
    catalogue_edit edit({}, change, purpose, codec, state::clock::now());
    edit_runner runner(platform, edit);
    std::deque<coordination::edit_action> pending;
    auto const add = [&pending](catalogue_edit::actions const& actions)
    {
        pending.insert(pending.end(), actions.begin(), actions.end());
    };
    while (edit.result().m_outcome == coordination::edit_outcome::pending ||
           !pending.empty())
    {
        if (runner.damaged())
        {
            return {coordination::edit_outcome::damaged, 0, {}, {}};
        }
        if (pending.empty())
        {
            std::this_thread::sleep_for(tick_interval);
            add(edit.tick(state::clock::now()));
            continue;
        }
        auto const action = std::move(pending.front());
        pending.pop_front();
        add(std::visit(runner, action));
    }
    return edit.result();
}

} // namespace camphortide::command_line
