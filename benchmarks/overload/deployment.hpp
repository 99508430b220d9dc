#pragma once

#include <string>
#include <vector>

/// The traffic of one class in the model.
struct traffic_class
{
    std::string m_name;
    std::string m_owner;
    double m_service_ms = 0;    ///< mean; exponentially distributed
    double m_work_fraction = 0; ///< of the whole work
    double m_deadline_ms = 0;
};

/// The slots that one group's primary serves with, and its traffic.
struct deployment
{
    std::string m_name;
    unsigned m_slots = 0;
    std::vector<traffic_class> m_classes;
};

/// @return both deployments of today
std::vector<deployment> deployments();
