#include "value_reader.hpp"

#include <utility>

namespace camphortide::transport
{

namespace
{

constexpr std::size_t shown_characters = 60;

} // namespace

value_reader::value_reader(reading_context& context) : m_context(&context) {}

value_reader value_reader::at(std::string_view key) const
{
    value_reader below = *this;
    if (!below.m_path.empty())
    {
        below.m_path += '.';
    }
    below.m_path += key;
    return below;
}

value_reader value_reader::at(std::size_t index) const
{
    value_reader below = *this;
    below.m_path += joined({"[", std::to_string(index), "]"});
    return below;
}

void value_reader::fail(setting_fault fault, std::string expected,
                        std::string found) const
{
    bool const given = m_context->m_overridden.count(m_path) > 0;
    m_context->m_errors.push_back(
        {given ? std::string(command_line_name) : m_context->m_file, m_path,
         fault, std::move(expected), std::move(found)});
}

void value_reader::fail_type(std::string expected, json const& found) const
{
    fail(setting_fault::wrong_type, std::move(expected), shown(found));
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

std::string shown(json const& value)
{
    std::string text =
        value.dump(-1, ' ', false, json::error_handler_t::replace);
    if (text.size() > shown_characters)
    {
        text.resize(shown_characters);
        text += "...";
    }
    return text;
}

} // namespace camphortide::transport
