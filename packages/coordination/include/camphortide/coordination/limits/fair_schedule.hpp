#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace camphortide::coordination
{

/// Selects the flow to serve next: the highest priority first, then the
/// customer and the customer's flow with the lowest start tag. All customers
/// have equal weights. A customer or flow that used less than its share keeps a
/// bounded credit: its start tag may lag behind the virtual time by that much,
/// so that its bursts are served before those that used more. Each call takes
/// time logarithmic in the number of flows.
/// @see P. Goyal, H. Vin and H. Cheng, "Start-time Fair Queueing", 1996, for
///     the tags; applied here among customers and again among the flows of one
///     customer
class fair_schedule
{
public:
    using flow_id = std::uint32_t;

    /// @param max_credit the maximum work by which a customer or a flow may
    ///     catch up
    explicit fair_schedule(double max_credit = 0) : m_max_credit(max_credit) {}

    /// Adds a flow, or changes an inactive one.
    /// @param id should be small: flows are stored in a vector indexed by id
    /// @param customer the flows of one customer divide the customer's share
    /// @param weight at least 1; relative to the customer's other flows
    void set_flow(flow_id id, std::string const& customer,
                  std::uint32_t priority, std::uint32_t weight);

    /// Marks a flow as having requests to serve.
    void activate(flow_id id);

    /// Marks a flow as having nothing to serve, or as not eligible.
    void deactivate(flow_id id);

    /// @return true if the flow is active
    bool active(flow_id id) const { return m_flows[id].m_active; }

    /// @return the active flow to serve next; nothing if no flow is active
    std::optional<flow_id> next() const;

    /// Charges service to an active flow.
    /// @param cost the work, in any unit that all calls share
    void charge(flow_id id, double cost);

    /// @return the fraction of its priority's service that the flow gets if the
    ///     set of active flows doesn't change, in (0, 1]
    double share(flow_id id) const;

private:
    using customer_id = std::uint32_t;

    struct flow
    {
        customer_id m_customer = 0;
        std::uint32_t m_priority = 0;
        double m_weight = 1;
        double m_start = 0;
        bool m_active = false;
    };

    struct customer_queue
    {
        double m_start = 0;
        double m_virtual_time = 0;
        double m_weight = 0; ///< sum over the active flows
        std::set<std::pair<double, flow_id>> m_active;
    };

    struct priority_level
    {
        double m_virtual_time = 0;
        std::set<std::pair<double, customer_id>> m_active;
        std::map<customer_id, customer_queue> m_customers;
    };

    customer_id customer_id_for(std::string const& customer);

    double m_max_credit;
    std::vector<flow> m_flows;
    std::map<std::string, customer_id, std::less<>> m_customers;
    std::map<std::uint32_t, priority_level, std::greater<>> m_levels;
};

} // namespace camphortide::coordination
