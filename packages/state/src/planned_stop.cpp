#include <array>
#include <cstddef>

#include <camphortide/state/planned_stop.hpp>

namespace camphortide::state
{

std::string_view to_string(stop_kind value)
{
    static constexpr std::array<std::string_view, 4> names{
        "instance", "member", "primary", "endpoint"};
    return names.at(static_cast<std::size_t>(value));
}

std::string_view to_string(stop_state value)
{
    static constexpr std::array<std::string_view, 4> names{
        "planned", "draining", "done", "cancelled"};
    return names.at(static_cast<std::size_t>(value));
}

} // namespace camphortide::state
