#include <algorithm>
#include <utility>

#include <camphortide/state/customer_directory.hpp>

namespace camphortide::state
{

namespace
{

/// @return true if a name can be sent to a member, where a blank or a control
///     character would end it
bool is_single_word(std::string_view name)
{
    return !name.empty() && std::ranges::all_of(name,
                                                [](unsigned char character) {
                                                    return character > ' ' &&
                                                           character != 0x7f;
                                                });
}

} // namespace

customer const* customer_directory::find_by_key(key_digest const& digest) const
{
    auto const found = m_keys.find(digest);
    return found == m_keys.end() ? nullptr : find(found->second);
}

customer const* customer_directory::find(std::string_view name) const
{
    auto const found = m_customers.find(name);
    return found == m_customers.end() ? nullptr : &found->second;
}

customer_directory_builder&
customer_directory_builder::add(customer value,
                                std::vector<std::string> const& keys)
{
    if (!is_single_word(value.m_name))
    {
        fail("the name of a customer is not a single word");
        return *this;
    }
    if (value.m_limit &&
        (value.m_limit->m_rate_per_second < 0 || value.m_limit->m_burst < 0))
    {
        fail("customer " + value.m_name + " has a negative limit");
        return *this;
    }
    auto const name = value.m_name;
    if (!m_result.m_customers.emplace(name, std::move(value)).second)
    {
        fail("customer " + name + " is named twice");
        return *this;
    }
    for (auto const& key : keys)
    {
        add_key(key, name);
    }
    return *this;
}

void customer_directory_builder::add_key(std::string const& key,
                                         std::string const& name)
{
    if (key.empty())
    {
        fail("customer " + name + " has an empty key");
        return;
    }
    auto const entry = m_result.m_keys.emplace(key_digest(key), name).first;
    if (entry->second != name)
    {
        fail("customers " + entry->second + " and " + name +
             " have the same key");
    }
}

void customer_directory_builder::fail(std::string const& message)
{
    if (m_status.ok())
    {
        m_status = absl::InvalidArgumentError(message);
    }
}

absl::StatusOr<customer_directory> customer_directory_builder::build()
{
    if (!m_status.ok())
    {
        return m_status;
    }
    return std::move(m_result);
}

} // namespace camphortide::state
