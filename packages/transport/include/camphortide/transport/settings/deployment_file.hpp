#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <camphortide/state/catalogue.hpp>
#include <camphortide/transport/settings/deployment.hpp>
#include <camphortide/transport/settings/setting_error.hpp>

namespace camphortide::transport
{

/// Reads and checks a deployment file.
/// @param path a file of JSON with comments
/// @return the deployment with every fault found
checked<deployment> read_deployment_file(std::string const& path);

/// Reads and checks a deployment held in memory.
/// @param file the name that errors carry
/// @param text JSON with comments
checked<deployment> parse_deployment(std::string const& file,
                                     std::string const& text);

/// Where a member of a deployment is reached.
struct deployed_member
{
    std::string m_name;
    std::string m_address; ///< HOST:PORT

    friend auto operator<=>(deployed_member const&,
                            deployed_member const&) = default;
};

/// Builds the first catalogue of a deployment.
/// @param value the deployment
/// @param addresses of all members
/// @return the catalogue, of version 1
state::catalogue make_catalogue(deployment const& value,
                                std::vector<deployed_member> const& addresses);

/// The name of the catalogue entry of a class of traffic in a group.
/// @return the entry's own name if it has one group, else "ENTRY.GROUP"
std::string catalogue_entry_name(deployment_entry const& entry,
                                 std::string_view group);

} // namespace camphortide::transport
