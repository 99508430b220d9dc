#pragma once

#include <string>
#include <string_view>

#include <camphortide/transport/settings/setting_error.hpp>

namespace camphortide::transport
{

/// The kinds of files that operators write.
enum class file_kind
{
    settings,   ///< of an instance
    deployment, ///< of a demonstration
    catalogue   ///< entries and groups
};

/// @return the kind's name as messages print it
std::string_view to_string(file_kind value);

/// Checks a file of any kind; the kind is seen from its keys.
/// @param path a file of JSON with comments
/// @return the kind with every fault found
checked<file_kind> check_file(std::string const& path);

} // namespace camphortide::transport
