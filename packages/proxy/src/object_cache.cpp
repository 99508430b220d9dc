#include <algorithm>
#include <set>

#include <camphortide/proxy/object_cache.hpp>

namespace camphortide::proxy
{

namespace
{

/// Maximum number of deleted objects that are kept for other instances. Beyond
/// it they are dropped, and instances with older cursors get a snapshot.
constexpr std::size_t max_deleted_objects = 256;

} // namespace

void object_cache::update(std::vector<platform::store_object> const& objects,
                          bool snapshot, std::uint64_t revision)
{
    if (snapshot)
    {
        mark_missing_deleted(objects);
        m_complete = true;
    }
    for (auto const& object : objects)
    {
        put(object);
    }
    m_revision = std::max(m_revision, revision);
    prune_deleted();
}

void object_cache::put(platform::store_object const& object)
{
    auto& cached = m_entries[object.m_name];
    if (cached.m_change != 0 && cached.m_object == object)
    {
        return;
    }
    cached = {object, ++m_change};
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
            cached.m_object.m_deleted = true;
            cached.m_change = ++m_change;
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

change_page object_cache::changes_since(change_cursor const& cursor) const
{
    change_page page;
    page.m_snapshot = cursor.m_process != m_process ||
                      cursor.m_change > m_change ||
                      cursor.m_change < m_pruned_change;
    page.m_revision = m_revision;
    page.m_cursor = this->cursor();
    for (auto const& [name, cached] : m_entries)
    {
        bool const known = page.m_snapshot ? cached.m_object.m_deleted
                                           : cached.m_change <= cursor.m_change;
        if (!known)
        {
            page.m_objects.push_back(cached.m_object);
        }
    }
    return page;
}

} // namespace camphortide::proxy
