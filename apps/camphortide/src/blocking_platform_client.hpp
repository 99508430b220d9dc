#pragma once

#include "option_parser.hpp"

#include <cstdint>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include <camphortide/transport/platform/platform_client.hpp>

namespace camphortide::command_line
{

/// A synchronous client of the platform: each call blocks until its result.
class blocking_platform_client
{
public:
    /// Reads the address and the timeout from the parsed options of a command.
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

    /// Prints that a call to the platform failed.
    /// @return exit_code::refused
    exit_code report(absl::Status const& status, console const& output) const;

private:
    std::string m_address;
    transport::platform_client m_client;
};

} // namespace camphortide::command_line
