#include <algorithm>
#include <utility>

#include <camphortide/state/catalogue.hpp>

namespace camphortide::state
{

namespace
{

template <class Record>
void sort_by_name(std::vector<Record>& records)
{
    std::ranges::stable_sort(records, {}, &Record::m_name);
}

template <class Record>
Record const* find(std::vector<Record> const& records, std::string_view name)
{
    auto const found = std::ranges::lower_bound(
        records, name, {},
        [](Record const& record) { return std::string_view(record.m_name); });
    if (found == records.end() || found->m_name != name)
    {
        return nullptr;
    }
    return &*found;
}

} // namespace

catalogue::catalogue(std::uint64_t version,
                     std::vector<catalogue_entry> entries,
                     std::vector<group_description> groups)
    : m_version(version),
      m_entries(std::move(entries)),
      m_groups(std::move(groups))
{
    sort_by_name(m_entries);
    sort_by_name(m_groups);
}

catalogue_entry const* catalogue::find_entry(std::string_view name) const
{
    return find(m_entries, name);
}

group_description const* catalogue::find_group(std::string_view name) const
{
    return find(m_groups, name);
}

} // namespace camphortide::state
