#include "object_store.hpp"

#include <deque>
#include <memory>
#include <variant>

#include <camphortide/protocol/catalogue_conversion.hpp>

namespace coordination = camphortide::coordination;
namespace protocol = camphortide::protocol;
using camphortide::state::time_point;
using coordination::write_reply;

std::string const* object_store::chunk(std::string const& name) const
{
    auto const found = m_chunks.find(name);
    return found == m_chunks.end() ? nullptr : &found->second;
}

std::size_t object_store::chunk_bytes() const
{
    std::size_t result = 0;
    for (auto const& [name, bytes] : m_chunks)
    {
        result += bytes.size();
    }
    return result;
}

coordination::edit_outcome
object_store::edit(coordination::catalogue_change const& change)
{
    time_point const now{};
    edit_type current(coordination::catalogue_edit_settings(), change,
                      edit_type::purpose::apply, m_codec, now);
    m_edit_calls = 0;
    std::deque<coordination::edit_action> calls;
    for (auto& action : current.tick(now))
    {
        calls.push_back(std::move(action));
    }
    while (!calls.empty())
    {
        auto const action = std::move(calls.front());
        calls.pop_front();
        ++m_edit_calls;
        for (auto& next : execute(current, action))
        {
            calls.push_back(std::move(next));
        }
    }
    return current.result().m_outcome;
}

object_store::edit_type::actions
object_store::execute(edit_type& edit, coordination::edit_action const& action)
{
    time_point const now{};
    if (std::holds_alternative<coordination::read_head>(action))
    {
        return edit.on_head(m_version, protocol::decode_head_object(m_head));
    }
    if (auto const* read = std::get_if<coordination::read_chunk>(&action))
    {
        auto const* bytes = chunk(read->m_chunk);
        return edit.on_chunk(read->m_chunk,
                             bytes == nullptr
                                 ? nullptr
                                 : std::make_shared<std::string const>(*bytes));
    }
    if (auto const* create = std::get_if<coordination::create_chunk>(&action))
    {
        m_chunks[create->m_chunk] = *create->m_bytes;
        return edit.on_chunk_created(write_reply::done, now);
    }
    if (auto const* write = std::get_if<coordination::write_head>(&action))
    {
        m_head = protocol::encode_head_object(write->m_parts);
        ++m_version;
        return edit.on_head_written(write_reply::done, now);
    }
    m_chunks.erase(std::get<coordination::remove_chunk>(action).m_chunk);
    return {};
}
