#include <algorithm>
#include <set>

#include <camphortide/coordination/fleet/rendezvous.hpp>
#include <camphortide/proxy/object_cache.hpp>

namespace camphortide::proxy
{

namespace
{

/// Maximum number of deleted objects that are kept for other instances. Beyond
/// it they are dropped, and instances with older cursors get a snapshot.
constexpr std::size_t max_deleted_objects = 256;

/// @return the object's part of the digest; 0 if it doesn't exist
std::uint64_t digest_of(platform::store_object const& object)
{
    return object.m_deleted || object.m_revision.number() == 0
               ? 0
               : coordination::rendezvous_score(
                     object.m_revision.number(),
                     coordination::hash_name(object.m_name));
}

} // namespace

void object_cache::update(std::vector<platform::store_object> const& objects,
                          bool snapshot, state::store_revision const& revision)
{
    m_revision = std::max(m_revision, revision);
    if (snapshot)
    {
        mark_missing_deleted(objects);
        m_complete = true;
    }
    for (auto const& object : objects)
    {
        put(object);
    }
    prune_deleted();
}

void object_cache::record_change(entry& cached,
                                 platform::store_object const& object)
{
    m_digest ^= digest_of(cached.m_object) ^ digest_of(object);
    cached = {object, ++m_change, m_revision};
}

void object_cache::put(platform::store_object const& object)
{
    auto& cached = m_entries[object.m_name];
    if (cached.m_change != 0 &&
        (cached.m_object == object ||
         cached.m_object.m_revision > object.m_revision))
    {
        return; // known, or older
    }
    record_change(cached, object);
}

void object_cache::mark_missing_deleted(
    std::vector<platform::store_object> const& objects)
{
    std::set<std::string_view> present;
    for (auto const& object : objects)
    {
        present.insert(object.m_name);
    }
    for (auto& [name, cached] : m_entries)
    {
        if (!cached.m_object.m_deleted && !present.contains(name))
        {
            auto deleted = cached.m_object;
            deleted.m_deleted = true;
            // In a new era the object may be created again with a number that
            // it had before.
            deleted.m_revision = std::max(
                deleted.m_revision, state::store_revision(0, m_revision.era()));
            record_change(cached, deleted);
        }
    }
}

void object_cache::prune_deleted()
{
    auto const is_deleted = [](auto const& named)
    {
        return named.second.m_object.m_deleted;
    };
    if (std::ranges::count_if(m_entries, is_deleted) >
        static_cast<std::ptrdiff_t>(max_deleted_objects))
    {
        std::erase_if(m_entries, is_deleted);
        m_pruned_change = m_change;
    }
}

change_page
object_cache::changes_since(change_cursor const& cursor,
                            state::store_revision const& known_revision) const
{
    bool const knows_objects = known_revision != state::store_revision();
    bool const other_era =
        knows_objects && known_revision.era() != m_revision.era();
    bool const usable = !other_era && cursor.m_process == m_process &&
                        cursor.m_change <= m_change &&
                        cursor.m_change >= m_pruned_change;
    change_page page;
    page.m_snapshot = !usable && (!knows_objects || other_era ||
                                  cursor.m_process == m_process);
    page.m_revision = m_revision;
    page.m_cursor = this->cursor();
    page.m_digest = m_digest;
    auto const is_included = [&](entry const& each)
    {
        if (usable)
        {
            return each.m_change > cursor.m_change;
        }
        return page.m_snapshot ? !each.m_object.m_deleted
                               : each.m_received_revision > known_revision ||
                                     each.m_object.m_revision > known_revision;
    };
    for (auto const& [name, cached] : m_entries)
    {
        if (is_included(cached))
        {
            page.m_objects.push_back(cached.m_object);
        }
    }
    return page;
}

platform::store_object const* object_cache::find(std::string const& name) const
{
    auto const found = m_entries.find(name);
    return found == m_entries.end() || found->second.m_object.m_deleted
               ? nullptr
               : &found->second.m_object;
}

std::uint64_t object_cache::digest_after(change_page const& page) const
{
    auto digest = m_digest;
    auto const replace = [&](std::string const& name,
                             state::store_revision const& revision,
                             bool deleted)
    {
        if (auto const* const cached = find(name))
        {
            digest ^= digest_of(*cached);
        }
        digest ^= digest_of({name, revision, {}, deleted});
    };
    for (auto const& object : page.m_objects)
    {
        replace(object.m_name, object.m_revision, object.m_deleted);
    }
    for (auto const& reference : page.m_references)
    {
        replace(reference.m_name, reference.m_revision, false);
    }
    return digest;
}

} // namespace camphortide::proxy
