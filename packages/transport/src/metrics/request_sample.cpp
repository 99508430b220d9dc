#include <array>

#include <camphortide/transport/metrics/request_sample.hpp>

namespace camphortide::transport
{

std::string_view to_string(request_route value)
{
    constexpr std::array<std::string_view, request_route_count> names{
        "none", "primary", "replica", "forwarded"};
    auto const index = static_cast<std::size_t>(value);
    return index < names.size() ? names[index] : "invalid";
}

} // namespace camphortide::transport
