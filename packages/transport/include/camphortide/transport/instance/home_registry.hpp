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

/// The gateways of the groups that this instance is a home of, and the homes of
/// every group. Written by the control thread, read by all threads.
class home_registry
{
public:
    /// @return the gateway of a group; null if this instance is not a home of
    ///     it
    std::shared_ptr<group_gateway> find(std::string_view group) const;

    /// @return the names of a group's homes, the preferred one first
    std::vector<std::string> homes_of(std::string_view group) const;

    /// @return the active gateways, without the retired ones
    std::vector<std::shared_ptr<group_gateway>> all() const;

    /// Adds or replaces a gateway.
    void set(std::shared_ptr<group_gateway> gateway);

    /// Removes a gateway.
    void erase(std::string const& group);

    /// Retires a gateway: it receives no new requests, only further steps of
    /// open transactions.
    void retire(std::string const& group);

    /// Removes a retired gateway.
    void erase_retired(std::string const& group);

    /// @return the gateway for steps of open transactions: the group's retired
    ///     one, else its active one; null if there is neither
    std::shared_ptr<group_gateway>
    find_for_transaction(std::string_view group) const;

    /// Sets the homes of every group, by the group's name.
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
