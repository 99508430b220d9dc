#include "instance_schema.hpp"

#include <camphortide/transport/settings/settings_file.hpp>

namespace camphortide::transport
{

namespace
{

/// Converts the value of an override: a string if the field is a string,
/// otherwise parsed as JSON.
json override_value(setting_override const& given)
{
    if (!instance_schema().is_json_string(given.m_key) &&
        json::accept(given.m_value))
    {
        return json::parse(given.m_value);
    }
    return given.m_value;
}

void apply_overrides(json& document, reading_context& context,
                     std::vector<setting_override> const& overrides)
{
    for (auto const& each : overrides)
    {
        context.m_overridden.insert(each.m_key);
        if (!instance_schema().contains(each.m_key))
        {
            error_reporter(context)
                .at(each.m_key)
                .report(setting_error_kind::unknown_key,
                        "a key of the settings' reference");
            continue;
        }
        put_at(document, each.m_key, override_value(each));
    }
}

checked<instance_settings> read(json document, reading_context context,
                                std::vector<setting_override> const& overrides)
{
    apply_overrides(document, context, overrides);
    error_reporter const reporter(context);
    auto value = instance_schema().read(document, reporter);
    check_instance_settings(value, reporter);
    return {std::move(value), std::move(context.m_errors)};
}

} // namespace

checked<instance_settings>
parse_instance_settings(std::string const& file, std::string const& text,
                        std::vector<setting_override> const& overrides)
{
    reading_context context{file, {}, {}};
    json document = parse_json(file, text, context.m_errors);
    if (!context.m_errors.empty() && document.empty())
    {
        return {{}, std::move(context.m_errors)};
    }
    return read(std::move(document), std::move(context), overrides);
}

checked<instance_settings>
read_instance_settings(std::string const& path,
                       std::vector<setting_override> const& overrides)
{
    if (path.empty())
    {
        return parse_instance_settings(std::string(command_line_name), "{}",
                                       overrides);
    }
    std::vector<setting_error> errors;
    auto const text = read_file(path, errors);
    if (!errors.empty())
    {
        return {{}, std::move(errors)};
    }
    return parse_instance_settings(path, text, overrides);
}

std::vector<setting_row> instance_setting_rows()
{
    return instance_schema().rows();
}

} // namespace camphortide::transport
