#pragma once

#include <string>
#include <vector>

/// Simulated traffic of one class.
struct traffic_class
{
    std::string m_name;
    std::string m_customer;
    double m_service_ms = 0;    ///< mean of an exponential distribution
    double m_work_fraction = 0; ///< share of the total work
    double m_deadline_ms = 0;
};

/// The slots of a group's primary, and its traffic.
struct deployment
{
    std::string m_name;
    unsigned m_slots = 0;
    std::vector<traffic_class> m_classes;
};

/// @return the simulated deployments
std::vector<deployment> deployments();
