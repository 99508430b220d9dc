#include <algorithm>
#include <utility>

#include <camphortide/standin/platform/object_store_model.hpp>

namespace camphortide::standin
{

namespace
{

bool begins_with(std::string_view text, std::string_view prefix)
{
    return text.substr(0, prefix.size()) == prefix;
}

} // namespace

change_result object_store_model::put(std::string const& name,
                                      std::uint64_t if_version,
                                      std::string value)
{
    if (name.empty())
    {
        return store_error::empty_name;
    }
    if (value.size() > max_value_size)
    {
        return store_error::too_large;
    }
    auto const it = m_objects.find(name);
    auto const current_version =
        it == m_objects.end() ? 0 : it->second.m_version;
    if (current_version != if_version)
    {
        return store_error::conflict;
    }
    stored_object const object{name, ++m_version, std::move(value)};
    m_objects.insert_or_assign(name, object);
    m_deleted.erase(name);
    return object_change{object, false};
}

change_result object_store_model::erase(std::string const& name,
                                        std::uint64_t if_version)
{
    auto const it = m_objects.find(name);
    if (it == m_objects.end())
    {
        return store_error::not_found;
    }
    if (it->second.m_version != if_version)
    {
        return store_error::conflict;
    }
    m_objects.erase(it);
    m_deleted[name] = ++m_version;
    return object_change{{name, m_version, {}}, true};
}

std::optional<stored_object>
object_store_model::get(std::string_view name) const
{
    auto const it = m_objects.find(name);
    if (it == m_objects.end())
    {
        return std::nullopt;
    }
    return it->second;
}

std::vector<stored_object>
object_store_model::list(std::string_view prefix) const
{
    std::vector<stored_object> found;
    for (auto it = m_objects.lower_bound(prefix);
         it != m_objects.end() && begins_with(it->first, prefix); ++it)
    {
        found.push_back(it->second);
    }
    return found;
}

std::vector<object_change>
object_store_model::changes_after(std::string_view prefix,
                                  std::uint64_t version) const
{
    std::vector<object_change> changes;
    for (auto& object : list(prefix))
    {
        if (object.m_version > version)
        {
            changes.push_back({std::move(object), false});
        }
    }
    for (auto it = m_deleted.lower_bound(prefix);
         it != m_deleted.end() && begins_with(it->first, prefix); ++it)
    {
        if (it->second > version)
        {
            changes.push_back({{it->first, it->second, {}}, true});
        }
    }
    std::sort(changes.begin(), changes.end(),
              [](object_change const& left, object_change const& right)
              { return left.m_object.m_version < right.m_object.m_version; });
    return changes;
}

} // namespace camphortide::standin
