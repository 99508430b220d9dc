#include <camphortide/coordination/session/connection_setup.hpp>

namespace camphortide::coordination
{

connection_setup::distance
connection_setup::distance_to(session_values const& values) const
{
    if (m_values == values)
    {
        return distance::same;
    }
    for (auto const& existing : m_values)
    {
        if (!values.contains(existing.first))
        {
            return distance::resets;
        }
    }
    return distance::adds;
}

std::vector<setup_command>
connection_setup::prepare_for(session_values const& values,
                              std::optional<prepared_shape> const& shape)
{
    std::vector<setup_command> commands;
    bool const full = shape && m_prepared.size() >= max_prepared &&
                      !m_prepared.contains(*shape);
    if (full || distance_to(values) == distance::resets)
    {
        commands.push_back({setup_command::kind::reset, {}, {}, false});
        m_values.clear();
        m_prepared.clear();
    }
    for (auto const& [name, value] : values)
    {
        auto& existing = m_values[name];
        if (existing != value)
        {
            existing = value;
            commands.push_back(
                {setup_command::kind::set_value, name, value, false});
        }
    }
    if (shape && !m_prepared.contains(*shape))
    {
        std::string name(1, 'c');
        name += std::to_string(++m_last_name);
        m_prepared.emplace(*shape, name);
        commands.push_back({setup_command::kind::prepare, name, shape->m_shape,
                            shape->m_write});
    }
    return commands;
}

std::string connection_setup::name_of(prepared_shape const& shape) const
{
    auto const found = m_prepared.find(shape);
    return found == m_prepared.end() ? std::string() : found->second;
}

} // namespace camphortide::coordination
