#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <camphortide/state/catalogue.hpp>
#include <camphortide/transport/settings/deployment.hpp>
#include <camphortide/transport/settings/setting_error.hpp>

namespace camphortide::transport
{

/// Reads and validates a deployment file.
/// @param path path of the file, JSON with comments
/// @return the deployment with every error found
checked<deployment> read_deployment_file(std::string const& path);

/// Parses and validates the text of a deployment file.
/// @param file file name for error messages
/// @param text JSON with comments
checked<deployment> parse_deployment(std::string const& file,
                                     std::string const& text);

/// The network address of a member of a deployment.
struct deployed_member
{
    std::string m_name;
    std::string m_address; ///< HOST:PORT

    friend auto operator<=>(deployed_member const&,
                            deployed_member const&) = default;
};

/// Builds the initial catalogue of a deployment.
/// @param value the deployment
/// @param addresses the addresses of all members
/// @return the catalogue, with version 1
state::catalogue make_catalogue(deployment const& value,
                                std::vector<deployed_member> const& addresses);

/// Builds the name of the catalogue entry of a traffic class in a group.
/// @return the name of the deployment entry if it has one group, else
///     "ENTRY.GROUP"
std::string catalogue_entry_name(deployment_entry const& entry,
                                 std::string_view group);

} // namespace camphortide::transport
