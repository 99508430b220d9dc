#include <utility>

#include <camphortide/standin/platform/instance_list_model.hpp>

namespace camphortide::standin
{

void instance_list_model::set(listed_instance instance, state::time_point now)
{
    m_changes.push_back({now, std::move(instance), false});
}

void instance_list_model::remove(std::string const& name, state::time_point now)
{
    m_changes.push_back({now, {name, {}, {}, false}, true});
}

std::vector<listed_instance> instance_list_model::list(state::time_point now)
{
    while (!m_changes.empty() && m_changes.front().m_changed_at + m_lag <= now)
    {
        auto& due = m_changes.front();
        if (due.m_removed)
        {
            m_listed.erase(due.m_instance.m_name);
        }
        else
        {
            m_listed.insert_or_assign(due.m_instance.m_name, due.m_instance);
        }
        m_changes.pop_front();
    }
    std::vector<listed_instance> all;
    all.reserve(m_listed.size());
    for (auto const& [name, instance] : m_listed)
    {
        all.push_back(instance);
    }
    return all;
}

} // namespace camphortide::standin
