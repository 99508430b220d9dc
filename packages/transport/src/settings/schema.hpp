#pragma once

#include "value_kind.hpp"

#include <algorithm>
#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <camphortide/transport/settings/settings_file.hpp>

namespace camphortide::transport
{

/// The fields of a JSON object type. Parses and validates such an object, and
/// provides the rows of the settings reference. A key with dots addresses a
/// field of an inner object.
template <typename Value>
class schema
{
public:
    /// Adds a required field.
    /// @param key the key path within the object
    /// @param member the member that stores the value
    /// @param kind how the value is parsed and formatted
    /// @param help description for operators
    template <typename Field>
    schema& required(std::string key, Field Value::*member,
                     value_kind<Field> kind, std::string help)
    {
        return add(std::move(key), member, std::move(kind), std::move(help),
                   true);
    }

    /// Adds an optional field. Its default is that of a value-initialized
    /// Value.
    template <typename Field>
    schema& optional(std::string key, Field Value::*member,
                     value_kind<Field> kind, std::string help)
    {
        return add(std::move(key), member, std::move(kind), std::move(help),
                   false);
    }

    /// Accepts the former name of a field when reading, so that files of
    /// earlier versions are still read. write() uses the present name only.
    /// @param former the key path in files of earlier versions
    /// @param key the present key path of the field
    schema& renamed(std::string former, std::string key)
    {
        m_former_keys.emplace(std::move(former), std::move(key));
        return *this;
    }

    /// Parses an object.
    /// @param document the object
    /// @param reporter the path of the object; receives every error
    /// @return the value; invalid fields keep their defaults
    Value read(json const& document, error_reporter const& reporter) const
    {
        Value value{};
        std::set<std::size_t> present;
        read_level(document, reporter, "", value, present);
        for (std::size_t i = 0; i < m_fields.size(); ++i)
        {
            if (m_fields[i].m_required && present.count(i) == 0)
            {
                reporter.at(m_fields[i].m_row.m_key)
                    .report(setting_error_kind::missing_key,
                            m_fields[i].m_row.m_type);
            }
        }
        return value;
    }

    /// Converts a value to an object that read() accepts.
    json write(Value const& value) const
    {
        json document = json::object();
        for (auto const& each : m_fields)
        {
            put_at(document, each.m_row.m_key,
                   json::parse(each.m_format(value)));
        }
        return document;
    }

    /// @return whether the schema has a field with this key
    bool contains(std::string_view key) const { return find(key) != nullptr; }

    /// @return whether the values of a field are JSON strings. The key must
    ///     exist.
    bool is_json_string(std::string_view key) const
    {
        return find(key)->m_is_json_string;
    }

    /// @return a reference row for each field, in order
    std::vector<setting_row> rows() const
    {
        std::vector<setting_row> all;
        all.reserve(m_fields.size());
        for (auto const& each : m_fields)
        {
            all.push_back(each.m_row);
        }
        return all;
    }

    /// @return the value kind of objects of this schema
    value_kind<Value> kind() const
    {
        auto const read_object =
            [table =
                 *this](json const& found,
                        error_reporter const& reporter) -> std::optional<Value>
        {
            if (!found.is_object())
            {
                reporter.report_type("object", found);
                return std::nullopt;
            }
            return table.read(found, reporter);
        };
        return {"object", read_object,
                [table = *this](Value const& value)
                { return table.write(value).dump(); },
                false};
    }

private:
    struct field
    {
        setting_row m_row;
        bool m_required;
        bool m_is_json_string;
        std::function<void(Value&, json const&, error_reporter const&)> m_read;
        std::function<std::string(Value const&)> m_format;
    };

    template <typename Field>
    schema& add(std::string key, Field Value::*member, value_kind<Field> kind,
                std::string help, bool required)
    {
        std::string const default_text =
            required ? "required" : kind.m_format(Value{}.*member);
        auto const read =
            [member, read_field = kind.m_read](Value& value, json const& found,
                                               error_reporter const& reporter)
        {
            auto result = read_field(found, reporter);
            if (result)
            {
                value.*member = std::move(*result);
            }
        };
        m_fields.push_back({{std::move(key), kind.m_description, default_text,
                             std::move(help)},
                            required,
                            kind.m_is_json_string,
                            read,
                            [member, format = kind.m_format](Value const& value)
                            {
                                return format(value.*member);
                            }});
        return *this;
    }

    field const* find(std::string_view key) const
    {
        auto const it = std::find_if(m_fields.begin(), m_fields.end(),
                                     [key](field const& each)
                                     { return each.m_row.m_key == key; });
        return it == m_fields.end() ? nullptr : &*it;
    }

    /// @return the present name of a key
    std::string const& present_key(std::string const& key) const
    {
        auto const it = m_former_keys.find(key);
        return it == m_former_keys.end() ? key : it->second;
    }

    bool is_object_prefix(std::string const& key) const
    {
        return std::any_of(m_fields.begin(), m_fields.end(),
                           [prefix = key + "."](field const& each)
                           { return each.m_row.m_key.rfind(prefix, 0) == 0; });
    }

    void read_level(json const& level, error_reporter const& reporter,
                    std::string const& prefix, Value& value,
                    std::set<std::size_t>& present) const
    {
        for (auto const& [key, found] : level.items())
        {
            std::string const path =
                prefix.empty() ? key : joined({prefix, ".", key});
            auto const child = reporter.at(key);
            field const* const matched = find(present_key(path));
            if (matched != nullptr)
            {
                auto const index =
                    static_cast<std::size_t>(matched - &m_fields[0]);
                if (!present.insert(index).second)
                {
                    child.report(setting_error_kind::repeated_key,
                                 "only one of a key and its former name");
                }
                matched->m_read(value, found, child);
            }
            else if (!is_object_prefix(path))
            {
                child.report(setting_error_kind::unknown_key,
                             keys_below(prefix), "");
            }
            else if (!found.is_object())
            {
                child.report_type("object with " + keys_below(path), found);
            }
            else
            {
                read_level(found, child, path, value, present);
            }
        }
    }

    std::string keys_below(std::string const& prefix) const
    {
        std::string const start = prefix.empty() ? "" : prefix + ".";
        std::set<std::string> keys;
        for (auto const& each : m_fields)
        {
            if (each.m_row.m_key.rfind(start, 0) == 0)
            {
                auto const rest = each.m_row.m_key.substr(start.size());
                keys.insert(rest.substr(0, rest.find('.')));
            }
        }
        std::string text = "one of";
        for (auto const& key : keys)
        {
            text += joined({" ", key});
        }
        return text;
    }

    std::vector<field> m_fields;
    std::map<std::string, std::string> m_former_keys; ///< to present keys
};

} // namespace camphortide::transport
