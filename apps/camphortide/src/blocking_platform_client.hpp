#pragma once

#include "option_parser.hpp"

#include <cstdint>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include <camphortide/transport/platform/platform_client.hpp>

namespace camphortide::command_line
{

/// Calls the platform one call after another, and waits for each.
class blocking_platform_client
{
public:
    /// Takes the address and the timeout from a command's options.
    explicit blocking_platform_client(option_parser const& parser);

    /// Adds the options that the constructor reads.
    static void add_options(option_parser& parser);

    absl::StatusOr<transport::platform_object> get(std::string const& name);
    absl::StatusOr<transport::platform_objects> list(std::string const& prefix);
    absl::StatusOr<transport::platform_object> put(std::string const& name,
                                                   std::uint64_t if_version,
                                                   std::string const& value);
    absl::StatusOr<std::uint64_t> erase(std::string const& name,
                                        std::uint64_t if_version);
    absl::StatusOr<std::vector<transport::platform_instance>> list_instances();

    /// Tells people that the platform did not serve a call.
    /// @return refused
    exit_code report(absl::Status const& status, console const& output) const;

private:
    std::string m_address;
    transport::platform_client m_client;
};

} // namespace camphortide::command_line
