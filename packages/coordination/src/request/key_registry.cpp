#include <camphortide/coordination/request/key_registry.hpp>

namespace camphortide::coordination
{

std::string scoped_key(std::string_view customer, std::string_view key)
{
    if (key.empty())
    {
        return {};
    }
    auto result = std::to_string(customer.size());
    result += ':';
    result += customer;
    result += key;
    return result;
}

key_registry::key_registry(std::size_t capacity) : m_capacity(capacity) {}

bool key_registry::note(std::string const& key, std::uint64_t fingerprint)
{
    if (key.empty() || m_capacity == 0)
    {
        return true;
    }
    auto const [entry, added] = m_fingerprints.try_emplace(key, fingerprint);
    if (!added)
    {
        return entry->second == fingerprint;
    }
    m_order.push_back(key);
    if (m_order.size() > m_capacity)
    {
        m_fingerprints.erase(m_order.front());
        m_order.pop_front();
    }
    return true;
}

} // namespace camphortide::coordination
