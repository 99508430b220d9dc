#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <shared_mutex>
#include <string>
#include <string_view>
#include <vector>

#include <camphortide/transport/gateway/group_gateway.hpp>

namespace camphortide::transport
{

/// The groups that this instance is a home of, and where the homes of every
/// group are. Written by the control thread, read by all.
class home_registry
{
public:
    /// @return the gateway to a group; null if this is no home of it
    std::shared_ptr<group_gateway> find(std::string_view group) const;

    /// @return the homes of a group, the preferred one first
    std::vector<std::string> homes_of(std::string_view group) const;

    /// @return the gateways of all groups
    std::vector<std::shared_ptr<group_gateway>> all() const;

    /// Adds or replaces a gateway.
    void set(std::shared_ptr<group_gateway> gateway);

    /// Removes a gateway.
    void erase(std::string const& group);

    /// Lets a gateway get no new work, but steps of open transactions.
    void retire(std::string const& group);

    /// Removes a retired gateway.
    void erase_retired(std::string const& group);

    /// @return the gateway for steps of open transactions: the retired one
    ///     of the group, else the present one; null if there is neither
    std::shared_ptr<group_gateway>
    find_for_transaction(std::string_view group) const;

    /// Sets where the homes of every group are.
    void set_homes(
        std::map<std::string, std::vector<std::string>, std::less<>> homes);

private:
    mutable std::shared_mutex m_mutex;
    std::map<std::string, std::shared_ptr<group_gateway>, std::less<>>
        m_gateways;
    std::map<std::string, std::shared_ptr<group_gateway>, std::less<>>
        m_retired;
    std::map<std::string, std::vector<std::string>, std::less<>> m_homes;
};

} // namespace camphortide::transport
