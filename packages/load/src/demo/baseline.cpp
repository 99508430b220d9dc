#include <algorithm>
#include <utility>

#include <camphortide/load/demo/baseline.hpp>

namespace camphortide::load
{

std::span<baseline const> baselines()
{
    static baseline const all[] = {
        {"default", "the system as it ships", {}, false, false},
        {"primary-reads",
         "every read goes to the primary",
         {coordination::make_primary_only, false},
         false,
         false},
        {"random-replica",
         "a read goes to a random replica and waits there",
         {coordination::make_random_replica, false},
         false,
         false},
        {"all-homes",
         "every instance is a home of every group",
         {},
         true,
         false},
        {"primary-word",
         "a write is acknowledged on the primary's word; may lose writes",
         {coordination::make_covering_replica, true},
         false,
         true},
    };
    return all;
}

baseline const* find_baseline(std::string_view name)
{
    auto const all = baselines();
    auto const found = std::ranges::find(all, name, &baseline::m_name);
    return found == all.end() ? nullptr : &*found;
}

transport::deployment with_baseline(transport::deployment value,
                                    baseline const& how)
{
    if (how.m_every_instance_home)
    {
        value.m_homes_per_group.reset();
    }
    return value;
}

} // namespace camphortide::load
