#include "json_document.hpp"

#include <array>
#include <cstddef>
#include <utility>

#include <camphortide/transport/settings/catalogue_file.hpp>
#include <camphortide/transport/settings/deployment_file.hpp>
#include <camphortide/transport/settings/file_kind.hpp>
#include <camphortide/transport/settings/settings_file.hpp>

namespace camphortide::transport
{

namespace
{

using errors = std::vector<setting_error>;

errors check_settings(std::string const& file, std::string const& text)
{
    return parse_instance_settings(file, text, {}).m_errors;
}

errors check_deployment_text(std::string const& file, std::string const& text)
{
    return parse_deployment(file, text).m_errors;
}

errors check_catalogue(std::string const& file, std::string const& text)
{
    return parse_catalogue(file, text).m_errors;
}

/// How files of a kind are detected and validated.
struct kind_row
{
    file_kind m_kind;
    char const* m_key; ///< only in files of this or later rows' kinds
    errors (*m_check)(std::string const& file, std::string const& text);
};

constexpr std::array<kind_row, 3> kinds{
    {{file_kind::deployment, "instances", check_deployment_text},
     {file_kind::catalogue, "entries", check_catalogue},
     {file_kind::settings, "platform", check_settings}}};

} // namespace

std::string_view to_string(file_kind value)
{
    static constexpr std::array<std::string_view, 3> names{
        "settings", "deployment", "catalogue"};
    return names.at(static_cast<std::size_t>(value));
}

checked<file_kind> check_file(std::string const& path)
{
    errors found;
    auto const text = read_file(path, found);
    if (!found.empty())
    {
        return {file_kind::settings, std::move(found)};
    }
    json const document = parse_json(path, text, found);
    for (auto const& each : kinds)
    {
        if (document.contains(each.m_key))
        {
            return {each.m_kind, each.m_check(path, text)};
        }
    }
    if (found.empty())
    {
        found.push_back(
            {path, "", setting_error_kind::missing_key,
             "platform, instances or entries, which identify the kind "
             "of the file",
             ""});
    }
    return {file_kind::settings, std::move(found)};
}

} // namespace camphortide::transport
