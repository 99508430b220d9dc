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
        return store_refusal::no_name;
    }
    if (value.size() > value_limit)
    {
        return store_refusal::too_large;
    }
    auto const place = m_objects.find(name);
    auto const now = place == m_objects.end() ? 0 : place->second.m_version;
    if (now != if_version)
    {
        return store_refusal::conflict;
    }
    stored_object const object{name, ++m_version, std::move(value)};
    m_objects.insert_or_assign(name, object);
    m_deleted.erase(name);
    return object_change{object, false};
}

change_result object_store_model::erase(std::string const& name,
                                        std::uint64_t if_version)
{
    auto const place = m_objects.find(name);
    if (place == m_objects.end())
    {
        return store_refusal::not_found;
    }
    if (place->second.m_version != if_version)
    {
        return store_refusal::conflict;
    }
    m_objects.erase(place);
    m_deleted[name] = ++m_version;
    return object_change{{name, m_version, {}}, true};
}

std::optional<stored_object>
object_store_model::get(std::string_view name) const
{
    auto const place = m_objects.find(name);
    if (place == m_objects.end())
    {
        return std::nullopt;
    }
    return place->second;
}

std::vector<stored_object>
object_store_model::list(std::string_view prefix) const
{
    std::vector<stored_object> found;
    for (auto place = m_objects.lower_bound(prefix);
         place != m_objects.end() && begins_with(place->first, prefix); ++place)
    {
        found.push_back(place->second);
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
    for (auto place = m_deleted.lower_bound(prefix);
         place != m_deleted.end() && begins_with(place->first, prefix); ++place)
    {
        if (place->second > version)
        {
            changes.push_back({{place->first, place->second, {}}, true});
        }
    }
    std::sort(changes.begin(), changes.end(),
              [](object_change const& left, object_change const& right)
              { return left.m_object.m_version < right.m_object.m_version; });
    return changes;
}

} // namespace camphortide::standin
