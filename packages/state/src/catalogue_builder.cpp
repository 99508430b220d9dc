#include <utility>

#include <camphortide/state/catalogue_builder.hpp>

namespace camphortide::state
{

namespace
{

template <class Record>
void remove(std::vector<Record>& records, std::string_view name)
{
    std::erase_if(records, [name](Record const& record)
                  { return record.m_name == name; });
}

} // namespace

catalogue_builder::catalogue_builder(catalogue const& base)
    : m_version(base.version()),
      m_entries(base.entries()),
      m_groups(base.groups())
{
}

catalogue_builder& catalogue_builder::version(std::uint64_t value)
{
    m_version = value;
    return *this;
}

catalogue_builder& catalogue_builder::set(catalogue_entry value)
{
    remove(m_entries, value.m_name);
    return add(std::move(value));
}

catalogue_builder& catalogue_builder::set(group_description value)
{
    remove(m_groups, value.m_name);
    return add(std::move(value));
}

catalogue_builder& catalogue_builder::add(catalogue_entry value)
{
    m_entries.push_back(std::move(value));
    return *this;
}

catalogue_builder& catalogue_builder::add(group_description value)
{
    m_groups.push_back(std::move(value));
    return *this;
}

catalogue_builder& catalogue_builder::remove_entry(std::string_view name)
{
    remove(m_entries, name);
    return *this;
}

catalogue_builder& catalogue_builder::remove_group(std::string_view name)
{
    remove(m_groups, name);
    return *this;
}

catalogue catalogue_builder::build() const
{
    return {m_version, m_entries, m_groups};
}

} // namespace camphortide::state
