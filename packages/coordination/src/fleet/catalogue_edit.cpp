#include <algorithm>
#include <utility>

#include <camphortide/coordination/fleet/catalogue_edit.hpp>
#include <camphortide/coordination/fleet/rendezvous.hpp>
#include <camphortide/state/catalogue_validation.hpp>

namespace camphortide::coordination
{

using state::time_point;

catalogue_edit::catalogue_edit(catalogue_edit_settings const& settings,
                               catalogue_change change, purpose wanted,
                               catalogue_codec const& codec, time_point now)
    : m_settings(settings),
      m_change(std::move(change)),
      m_purpose(wanted),
      m_codec(codec),
      m_deadline(now + settings.m_timeout)
{
}

catalogue_edit::actions catalogue_edit::tick(time_point now)
{
    actions out;
    if (m_result.m_outcome != edit_outcome::pending)
    {
        return out;
    }
    if (now >= m_deadline)
    {
        finish(m_head_may_be_written ? edit_outcome::undetermined
                                     : edit_outcome::unavailable);
        return out;
    }
    if (!m_started)
    {
        m_started = true;
        out.emplace_back(read_head{});
        return out;
    }
    if (m_retry_at && now >= *m_retry_at)
    {
        m_retry_at.reset();
        out.push_back(*std::exchange(m_retry_action, std::nullopt));
    }
    return out;
}

void catalogue_edit::finish(edit_outcome outcome, std::uint64_t version)
{
    m_result.m_outcome = outcome;
    m_result.m_version = version;
}

catalogue_edit::actions
catalogue_edit::on_head(std::uint64_t object_version,
                        std::optional<catalogue_parts> parts)
{
    actions out;
    if (m_result.m_outcome != edit_outcome::pending)
    {
        return out;
    }
    bool const is_unchanged = m_next && object_version <= m_object_version;
    if (is_unchanged)
    {
        // The write whose reply was lost has not taken effect yet, or the read
        // returned an old state. Repeating the write is safe: of two equal
        // conditional writes only one can take effect.
        append_next_write(out);
        return out;
    }
    if (!parts && object_version != 0)
    {
        finish(m_head_may_be_written ? edit_outcome::undetermined
                                     : edit_outcome::damaged);
        return out;
    }
    m_base = parts ? parts->m_head : state::catalogue_head{};
    m_object_version = object_version;
    if (finish_from_head())
    {
        append_removals(out, m_replaced_chunks);
        return out;
    }
    // The object has a newer version, so an earlier write can't take effect any
    // more.
    m_head_may_be_written = false;
    if (m_next)
    {
        std::vector<std::string> created;
        for (auto const& [name, bytes] : m_new_chunks)
        {
            created.push_back(name);
        }
        append_removals(out, created);
        m_next.reset();
        m_new_chunks.clear();
    }
    m_replaced_chunks.clear();
    if (parts)
    {
        m_cached_chunks.merge(parts->m_chunks);
    }
    append_next_read(out);
    return out;
}

bool catalogue_edit::finish_from_head()
{
    auto const found = std::ranges::find_if(
        m_base.m_history, [this](state::accepted_change const& accepted)
        { return accepted.m_stamp.m_change == m_change.m_id; });
    if (found != m_base.m_history.end())
    {
        finish(edit_outcome::accepted, found->m_stamp.m_version);
        return true;
    }
    if (std::ranges::find(m_base.m_barred, m_change.m_id) !=
        m_base.m_barred.end())
    {
        m_replaced_chunks.clear();
        finish(edit_outcome::barred);
        return true;
    }
    return false;
}

void catalogue_edit::append_next_read(actions& out)
{
    if (m_purpose == purpose::resolve)
    {
        prepare_bar(out);
        return;
    }
    for (auto const& reference : m_base.m_chunks)
    {
        if (!m_cached_chunks.contains(reference.m_name))
        {
            out.emplace_back(read_chunk{reference.m_name});
            return;
        }
    }
    prepare_change(out);
}

catalogue_edit::actions catalogue_edit::on_chunk(std::string const& chunk,
                                                 chunk_bytes bytes)
{
    actions out;
    if (m_result.m_outcome != edit_outcome::pending)
    {
        return out;
    }
    if (bytes == nullptr)
    {
        out.emplace_back(read_head{}); // the chunk was replaced in the meantime
        return out;
    }
    m_cached_chunks.insert_or_assign(chunk, std::move(bytes));
    append_next_read(out);
    return out;
}

void catalogue_edit::prepare_change(actions& out)
{
    auto const base = assemble(m_base, m_cached_chunks, m_codec);
    if (!base)
    {
        finish(edit_outcome::damaged);
        return;
    }
    m_result.m_conflicts = find_conflicts(*base, m_change, m_base);
    if (!m_result.m_conflicts.empty())
    {
        finish(edit_outcome::conflict);
        return;
    }
    auto const next = apply_change(*base, m_change, m_base.m_version + 1);
    m_result.m_problems = state::validate(next);
    if (!m_result.m_problems.empty())
    {
        finish(edit_outcome::invalid);
        return;
    }
    build_parts(next);
    append_next_write(out);
}

void catalogue_edit::prepare_bar(actions& out)
{
    catalogue_parts parts;
    parts.m_head = m_base;
    parts.m_head.m_barred.push_back(m_change.m_id);
    auto& barred = parts.m_head.m_barred;
    if (barred.size() > m_settings.m_max_history)
    {
        barred.erase(barred.begin());
    }
    m_next = std::move(parts);
    append_next_write(out);
}

void catalogue_edit::build_parts(state::catalogue const& next)
{
    m_next.emplace();
    auto& head = m_next->m_head;
    head = m_base;
    head.m_version = next.version();
    auto const contents = split_into_buckets(next);
    for (std::uint32_t const bucket : touched_buckets())
    {
        auto const found = contents.find(bucket);
        replace_bucket(bucket,
                       found == contents.end() ? nullptr : &found->second);
    }
    std::ranges::sort(head.m_chunks, {}, &state::chunk_reference::m_bucket);
    head.m_history.push_back(
        {{m_change.m_id, m_change.m_operator, head.m_version},
         named_records()});
    if (head.m_history.size() > m_settings.m_max_history)
    {
        head.m_history.erase(head.m_history.begin());
    }
    std::size_t bytes = 0;
    for (auto const& [name, chunk] : m_new_chunks)
    {
        m_chunks_to_create.push_back(name);
        bytes += chunk->size();
    }
    if (bytes <= m_settings.m_max_inline_bytes)
    {
        m_next->m_chunks = m_new_chunks;
    }
}

void catalogue_edit::replace_bucket(std::uint32_t bucket,
                                    chunk_content const* content)
{
    auto& chunks = m_next->m_head.m_chunks;
    auto const old =
        std::ranges::find(chunks, bucket, &state::chunk_reference::m_bucket);
    if (old != chunks.end())
    {
        m_replaced_chunks.push_back(old->m_name);
        chunks.erase(old);
    }
    if (content == nullptr)
    {
        return;
    }
    auto bytes = std::make_shared<std::string const>(m_codec.encode(*content));
    auto digest = m_codec.digest(*bytes);
    // Chunk names are unique: the object version never repeats, and the digest
    // covers the change's stamp in the records.
    auto const name = std::to_string(bucket) + "-" +
                      std::to_string(m_object_version) + "-" +
                      std::to_string(hash_name(digest));
    chunks.push_back(
        {name, std::move(digest), bucket, m_next->m_head.m_version});
    m_new_chunks.emplace(name, std::move(bytes));
}

void catalogue_edit::append_next_write(actions& out)
{
    if (!m_chunks_to_create.empty())
    {
        auto const& name = m_chunks_to_create.back();
        out.emplace_back(create_chunk{name, m_new_chunks.at(name)});
        return;
    }
    m_head_may_be_written = true;
    out.emplace_back(write_head{m_object_version, *m_next});
}

catalogue_edit::actions catalogue_edit::on_chunk_created(write_reply reply,
                                                         time_point now)
{
    actions out;
    if (m_result.m_outcome != edit_outcome::pending ||
        m_chunks_to_create.empty())
    {
        return out;
    }
    if (reply == write_reply::lost)
    {
        auto const& name = m_chunks_to_create.back();
        m_retry_action = create_chunk{name, m_new_chunks.at(name)};
        m_retry_at = now + m_settings.m_retry_delay;
        return out;
    }
    m_chunks_to_create.pop_back();
    append_next_write(out);
    return out;
}

catalogue_edit::actions catalogue_edit::on_head_written(write_reply reply,
                                                        time_point now)
{
    actions out;
    if (m_result.m_outcome != edit_outcome::pending || !m_next)
    {
        return out;
    }
    switch (reply)
    {
    case write_reply::done:
        m_base = m_next->m_head;
        finish_from_head();
        append_removals(out, m_replaced_chunks);
        break;
    case write_reply::conflict:
        out.emplace_back(read_head{});
        break;
    case write_reply::lost:
        m_retry_action = read_head{};
        m_retry_at = now + m_settings.m_retry_delay;
        break;
    }
    return out;
}

catalogue_edit::actions catalogue_edit::on_read_failed(time_point now)
{
    if (m_result.m_outcome == edit_outcome::pending)
    {
        m_retry_action = read_head{};
        m_retry_at = now + m_settings.m_retry_delay;
    }
    return {};
}

void catalogue_edit::append_removals(actions& out,
                                     std::vector<std::string> const& chunks)
{
    for (auto const& name : chunks)
    {
        out.emplace_back(remove_chunk{name});
    }
}

std::set<std::uint32_t> catalogue_edit::touched_buckets() const
{
    std::set<std::uint32_t> result;
    for (auto const& record : touched_records())
    {
        result.insert(bucket_of(record));
    }
    return result;
}

std::vector<std::string> catalogue_edit::named_records() const
{
    // Removed records come first: those that still exist carry the stamp of the
    // change themselves.
    std::vector<std::string> result;
    std::vector<std::string> kept;
    for (auto const& item : m_change.m_groups)
    {
        (item.m_after ? kept : result).push_back(item.m_name);
    }
    for (auto const& item : m_change.m_entries)
    {
        (item.m_after ? kept : result).push_back(item.m_name);
    }
    result.insert(result.end(), kept.begin(), kept.end());
    result.resize(std::min(result.size(), m_settings.m_max_named_records));
    return result;
}

std::vector<std::string> catalogue_edit::touched_records() const
{
    std::vector<std::string> result;
    for (auto const& item : m_change.m_groups)
    {
        result.push_back(item.m_name);
    }
    for (auto const& item : m_change.m_entries)
    {
        result.push_back(item.m_name);
    }
    return result;
}

} // namespace camphortide::coordination
