#pragma once

#include "proxy_fixture.hpp"

#include <algorithm>
#include <vector>

namespace tests
{

/// Six instances and members that accept four connections each: two instances
/// are homes, the others forward statements to them.
struct limited_deployment : deployment
{
    limited_deployment()
    {
        configure_connections(1, 4);
        for (int number = 1; number <= 6; ++number)
        {
            m_instances.push_back(std::make_unique<running_instance>(
                m_platform.address(), number));
        }
        m_ready = wait_for(
            [this]
            {
                // The homes change while the instances register.
                return registered() &&
                       std::ranges::all_of(m_instances, [](auto const& each)
                                           { return serves_writes(*each); });
            });
    }

    bool registered() const
    {
        for (int number = 1; number <= 6; ++number)
        {
            auto const name = "instance.edge-" + std::to_string(number);
            if (m_platform.get("camphortide", name).empty())
            {
                return false;
            }
        }
        return true;
    }

    static bool serves_writes(running_instance& instance)
    {
        try
        {
            return instance.connect().outcome("STORE ready yes") == "COMPLETE";
        }
        catch (boost::system::system_error const&)
        {
            return false; // not listening yet
        }
    }

    std::vector<std::unique_ptr<running_instance>> m_instances;
    bool m_ready = false;
};

} // namespace tests
