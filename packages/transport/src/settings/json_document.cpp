#include "json_document.hpp"

#include <fstream>
#include <iterator>
#include <set>

namespace camphortide::transport
{

namespace
{

/// Collects keys that occur more than once in an object. The parser itself
/// silently keeps the last value.
class repeated_keys
{
public:
    bool operator()(json::parse_event_t event, json const& value)
    {
        if (event == json::parse_event_t::object_start)
        {
            m_open_objects.emplace_back();
        }
        else if (event == json::parse_event_t::object_end)
        {
            m_open_objects.pop_back();
        }
        else if (event == json::parse_event_t::key)
        {
            auto const key = value.get<std::string>();
            if (!m_open_objects.back().insert(key).second)
            {
                m_repeated.push_back(key);
            }
        }
        return true;
    }

    std::vector<std::string> const& repeated() const { return m_repeated; }

private:
    std::vector<std::set<std::string>> m_open_objects;
    std::vector<std::string> m_repeated;
};

} // namespace

std::string read_file(std::string const& path,
                      std::vector<setting_error>& errors)
{
    std::ifstream stream(path, std::ios::binary);
    std::string text{std::istreambuf_iterator<char>(stream),
                     std::istreambuf_iterator<char>()};
    if (!stream.is_open() || stream.bad())
    {
        errors.push_back({path, "", setting_error_kind::unreadable_file,
                          "a file that can be read", ""});
        return {};
    }
    return text;
}

json parse_json(std::string const& file, std::string const& text,
                std::vector<setting_error>& errors)
{
    repeated_keys keys;
    json document;
    try
    {
        document = json::parse(
            text,
            [&keys](int, json::parse_event_t event, json& value)
            { return keys(event, value); },
            true, true);
    }
    catch (json::parse_error const& error)
    {
        errors.push_back({file, "", setting_error_kind::malformed_json,
                          "JSON with comments", error.what()});
        return json::object();
    }
    for (auto const& key : keys.repeated())
    {
        errors.push_back({file, key, setting_error_kind::repeated_key,
                          "each key once in an object", ""});
    }
    if (!document.is_object())
    {
        errors.push_back({file, "", setting_error_kind::wrong_type,
                          "an object at the top", document.type_name()});
        return json::object();
    }
    return document;
}

void put_at(json& document, std::string const& key, json value)
{
    json* level = &document;
    std::size_t start = 0;
    for (auto dot = key.find('.'); dot != std::string::npos;
         dot = key.find('.', start))
    {
        json& inner = (*level)[key.substr(start, dot - start)];
        if (!inner.is_object())
        {
            inner = json::object();
        }
        level = &inner;
        start = dot + 1;
    }
    (*level)[key.substr(start)] = std::move(value);
}

} // namespace camphortide::transport
