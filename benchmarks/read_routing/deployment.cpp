#include "deployment.hpp"

namespace camphortide::benchmark
{

deployment toy_library()
{
    return {"library",
            1.0,
            0.5,
            2.0,
            2,
            16,
            600,
            60,
            {{"catalogue", 0.50, state::duration(5000), 1200, false},
             {"availability", 0.15, state::duration(1000), 300, false},
             {"desk", 0.25, std::nullopt, 150, true},
             {"no session", 0.10, std::nullopt, 0, false}}};
}

deployment dealers()
{
    return {"dealers",
            3.0,
            0.5,
            2.0,
            5,
            55,
            1800,
            80,
            {{"listings", 0.60, state::duration(5000), 3000, false},
             {"availability", 0.25, state::duration(1000), 1200, false},
             {"dealer", 0.10, std::nullopt, 300, true},
             {"no session", 0.05, std::nullopt, 0, false}}};
}

deployment at_peak(deployment parameters)
{
    constexpr double replica_utilization = 0.9;
    auto const per_slot = 1000 / parameters.m_service_ms;
    parameters.m_name += " at peak";
    parameters.m_reads_per_second = replica_utilization * 2 * per_slot *
                                    static_cast<double>(parameters.m_slots);
    return parameters;
}

std::vector<lag_setting> lag_settings()
{
    return {{"50 ms", 50, 50},    {"200 ms", 200, 200},
            {"500 ms", 500, 500}, {"1 s", 1000, 1000},
            {"2 s", 2000, 2000},  {"50 ms and 2 s", 50, 2000}};
}

} // namespace camphortide::benchmark
