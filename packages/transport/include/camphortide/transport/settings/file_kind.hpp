#pragma once

#include <string>
#include <string_view>

#include <camphortide/transport/settings/setting_error.hpp>

namespace camphortide::transport
{

/// The kinds of files that operators write.
enum class file_kind
{
    settings,   ///< settings of an instance
    deployment, ///< deployment of a demonstration
    catalogue   ///< catalogue entries and groups
};

/// @return the name used in messages
std::string_view to_string(file_kind value);

/// Validates a file of any kind. The kind is detected from the keys of the
/// file.
/// @param path path of the file, JSON with comments
/// @return the kind with every error found
checked<file_kind> check_file(std::string const& path);

} // namespace camphortide::transport
