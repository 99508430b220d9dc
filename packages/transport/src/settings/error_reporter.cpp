#include "error_reporter.hpp"

#include <utility>

namespace camphortide::transport
{

namespace
{

constexpr std::size_t max_display_characters = 60;

} // namespace

error_reporter::error_reporter(reading_context& context) : m_context(&context)
{
}

error_reporter error_reporter::at(std::string_view key) const
{
    error_reporter child = *this;
    if (!child.m_path.empty())
    {
        child.m_path += '.';
    }
    child.m_path += key;
    return child;
}

error_reporter error_reporter::at(std::size_t index) const
{
    error_reporter child = *this;
    child.m_path += joined({"[", std::to_string(index), "]"});
    return child;
}

void error_reporter::report(setting_error_kind kind, std::string expected,
                            std::string found) const
{
    bool const overridden = m_context->m_overridden.count(m_path) > 0;
    m_context->m_errors.push_back(
        {overridden ? std::string(command_line_name) : m_context->m_file,
         m_path, kind, std::move(expected), std::move(found)});
}

void error_reporter::report_type(std::string expected, json const& found) const
{
    report(setting_error_kind::wrong_type, std::move(expected),
           display_text(found));
}

std::string joined(std::initializer_list<std::string_view> texts)
{
    std::string all;
    for (auto const text : texts)
    {
        all += text;
    }
    return all;
}

std::string in_quotes(std::string_view text)
{
    return joined({"\"", text, "\""});
}

std::string display_text(json const& value)
{
    std::string text =
        value.dump(-1, ' ', false, json::error_handler_t::replace);
    if (text.size() > max_display_characters)
    {
        text.resize(max_display_characters);
        text += "...";
    }
    return text;
}

} // namespace camphortide::transport
