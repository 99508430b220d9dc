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

/// Says which flow is served next: the highest priority first, then the owner
/// and the owner's flow with the lowest start tag. Owners have equal weights.
/// One that used less than its share may fall behind the tags in service by a
/// bounded max_credit, so that its bursts go ahead of those that use more.
/// Each call takes a time that is logarithmic in the number of flows.
/// @see P. Goyal, H. Vin and H. Cheng, "Start-time Fair Queueing", 1996, for
///     the tags; here once among owner_count and once among an owner's flows
class fair_schedule
{
public:
    using flow_id = std::uint32_t;

    /// @param max_credit the most work that an owner or a flow can catch up on
    explicit fair_schedule(double max_credit = 0) : m_max_credit(max_credit) {}

    /// Adds a flow or changes an inactive one.
    /// @param id small; flows are kept in a vector
    /// @param owner flows of one owner share what the owner gets
    /// @param weight at least 1; share among the owner's flows
    void set_flow(flow_id id, std::string const& owner, std::uint32_t priority,
                  std::uint32_t weight);

    /// States that a flow has something to serve.
    void activate(flow_id id);

    /// States that a flow has nothing to serve, or may not be served.
    void deactivate(flow_id id);

    /// @return true if the flow is active
    bool active(flow_id id) const { return m_flows[id].m_active; }

    /// @return the active flow to serve; nothing if there is none
    std::optional<flow_id> next() const;

    /// Accounts for service that an active flow gets.
    /// @param cost the work, in any one unit
    void charge(flow_id id, double cost);

    /// @return the part of its priority's service that the flow gets while
    ///     the flows that are active now stay so, in (0, 1]
    double share(flow_id id) const;

private:
    using owner_id = std::uint32_t;

    struct flow
    {
        owner_id m_owner = 0;
        std::uint32_t m_priority = 0;
        double m_weight = 1;
        double m_start = 0;
        bool m_active = false;
    };

    struct owner_queue
    {
        double m_start = 0;
        double m_virtual_time = 0;
        double m_weight = 0; ///< of the active flows
        std::set<std::pair<double, flow_id>> m_active;
    };

    struct priority_level
    {
        double m_virtual_time = 0;
        std::set<std::pair<double, owner_id>> m_active;
        std::map<owner_id, owner_queue> m_owners;
    };

    owner_id owner_id_for(std::string const& owner);

    double m_max_credit;
    std::vector<flow> m_flows;
    std::map<std::string, owner_id, std::less<>> m_owners;
    std::map<std::uint32_t, priority_level, std::greater<>> m_levels;
};

} // namespace camphortide::coordination
