#include <algorithm>
#include <set>

#include <camphortide/proxy/object_mirror.hpp>

namespace camphortide::proxy
{

namespace
{

/// Removed objects that are kept to tell others; then these are told all.
constexpr std::size_t most_removed = 256;

} // namespace

void object_mirror::take(std::vector<platform::store_object> const& objects,
                         bool whole, std::uint64_t revision)
{
    if (whole)
    {
        remove_all_but(objects);
        m_complete = true;
    }
    for (auto const& object : objects)
    {
        put(object);
    }
    m_revision = std::max(m_revision, revision);
    forget_removed();
}

void object_mirror::put(platform::store_object const& object)
{
    auto& place = m_entries[object.m_name];
    if (place.m_change != 0 && place.m_object == object)
    {
        return;
    }
    place = {object, ++m_change};
}

void object_mirror::remove_all_but(
    std::vector<platform::store_object> const& objects)
{
    std::set<std::string_view> present;
    for (auto const& object : objects)
    {
        present.insert(object.m_name);
    }
    for (auto& [name, place] : m_entries)
    {
        if (!place.m_object.m_deleted && !present.contains(name))
        {
            place.m_object.m_deleted = true;
            place.m_change = ++m_change;
        }
    }
}

void object_mirror::forget_removed()
{
    auto const removed = [](auto const& named)
    {
        return named.second.m_object.m_deleted;
    };
    if (std::ranges::count_if(m_entries, removed) >
        static_cast<std::ptrdiff_t>(most_removed))
    {
        std::erase_if(m_entries, removed);
        m_forgotten = m_change;
    }
}

mirror_page object_mirror::since(news_cursor const& cursor) const
{
    mirror_page page;
    page.m_whole = cursor.m_process != m_process ||
                   cursor.m_change > m_change || cursor.m_change < m_forgotten;
    page.m_revision = m_revision;
    page.m_cursor = this->cursor();
    for (auto const& [name, place] : m_entries)
    {
        bool const told = page.m_whole ? place.m_object.m_deleted
                                       : place.m_change <= cursor.m_change;
        if (!told)
        {
            page.m_objects.push_back(place.m_object);
        }
    }
    return page;
}

} // namespace camphortide::proxy
