#include <utility>

#include <camphortide/state/catalogue_entry_builder.hpp>

namespace camphortide::state
{

catalogue_entry_builder::catalogue_entry_builder(std::string name)
{
    m_entry.m_name = std::move(name);
}

catalogue_entry_builder& catalogue_entry_builder::customer(std::string value)
{
    m_entry.m_customer = std::move(value);
    return *this;
}

catalogue_entry_builder& catalogue_entry_builder::class_name(std::string value)
{
    m_entry.m_class_name = std::move(value);
    return *this;
}

catalogue_entry_builder& catalogue_entry_builder::group(std::string value)
{
    m_entry.m_group = std::move(value);
    return *this;
}

catalogue_entry_builder&
catalogue_entry_builder::credential_hash(std::string value)
{
    m_entry.m_credential_hash = std::move(value);
    return *this;
}

catalogue_entry_builder& catalogue_entry_builder::limits(entry_limits value)
{
    m_entry.m_limits = value;
    return *this;
}

catalogue_entry catalogue_entry_builder::build() const
{
    return m_entry;
}

} // namespace camphortide::state
