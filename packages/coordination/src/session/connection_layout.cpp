#include <camphortide/coordination/session/connection_layout.hpp>

namespace camphortide::coordination
{

connection_layout::distance
connection_layout::distance_to(session_values const& values) const
{
    if (m_values == values)
    {
        return distance::same;
    }
    for (auto const& held : m_values)
    {
        if (!values.contains(held.first))
        {
            return distance::resets;
        }
    }
    return distance::adds;
}

std::vector<layout_command>
connection_layout::lay(session_values const& values,
                       std::optional<prepared_shape> const& shape)
{
    std::vector<layout_command> commands;
    bool const full = shape && m_prepared.size() >= max_prepared &&
                      !m_prepared.contains(*shape);
    if (full || distance_to(values) == distance::resets)
    {
        commands.push_back({layout_command::kind::reset, {}, {}, false});
        m_values.clear();
        m_prepared.clear();
    }
    for (auto const& [name, value] : values)
    {
        auto& held = m_values[name];
        if (held != value)
        {
            held = value;
            commands.push_back(
                {layout_command::kind::set_value, name, value, false});
        }
    }
    if (shape && !m_prepared.contains(*shape))
    {
        std::string name(1, 'c');
        name += std::to_string(++m_last_name);
        m_prepared.emplace(*shape, name);
        commands.push_back({layout_command::kind::prepare, name, shape->m_shape,
                            shape->m_write});
    }
    return commands;
}

std::string connection_layout::name_of(prepared_shape const& shape) const
{
    auto const place = m_prepared.find(shape);
    return place == m_prepared.end() ? std::string() : place->second;
}

} // namespace camphortide::coordination
