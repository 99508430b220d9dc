#include <algorithm>
#include <charconv>

#include <camphortide/standin/statement_language.hpp>

namespace camphortide::standin
{

namespace
{

std::int64_t parse_number(std::string_view text)
{
    std::int64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

struct statement
{
    std::string_view m_name;
    std::string_view m_key;
    std::string_view m_value;
};

constexpr std::string_view whitespace = " \t\n";

std::string_view take_word(std::string_view& text)
{
    text.remove_prefix(
        std::min(text.find_first_not_of(whitespace), text.size()));
    auto const word = text.substr(0, text.find_first_of(whitespace));
    text.remove_prefix(word.size());
    return word;
}

statement parse(std::string_view text)
{
    statement result;
    result.m_name = take_word(text);
    result.m_key = take_word(text);
    text.remove_prefix(
        std::min(text.find_first_not_of(whitespace), text.size()));
    result.m_value = text;
    return result;
}

statement_result lookup(table const& rows, std::string_view key)
{
    auto const found = rows.find(key);
    return {true, found == rows.end() ? std::string() : found->second};
}

statement_result get(table& rows, std::string const& key, std::string const&)
{
    return lookup(rows, key);
}

statement_result set(table& rows, std::string const& key,
                     std::string const& value)
{
    rows[key] = value;
    return {true, value};
}

statement_result add(table& rows, std::string const& key,
                     std::string const& value)
{
    auto& cell = rows[key];
    cell = std::to_string(parse_number(cell) + parse_number(value));
    return {true, cell};
}

statement_result claim(table& rows, std::string const& key,
                       std::string const& value)
{
    auto const [cell, inserted] = rows.try_emplace(key, value);
    return {inserted, cell->second};
}

struct operation
{
    std::string_view m_name;
    statement_result (*m_run)(table&, std::string const&, std::string const&);
};

constexpr operation operations[] = {
    {"get", get}, {"set", set}, {"add", add}, {"claim", claim}};

} // namespace

statement_result run_statement(table& rows, std::string_view text)
{
    auto const parsed = parse(text);
    for (auto const& candidate : operations)
    {
        if (candidate.m_name == parsed.m_name && !parsed.m_key.empty())
        {
            return candidate.m_run(rows, std::string(parsed.m_key),
                                   std::string(parsed.m_value));
        }
    }
    return {false, "unknown statement"};
}

statement_result run_query(table const& rows, std::string_view text)
{
    auto const parsed = parse(text);
    if (parsed.m_name != "get" || parsed.m_key.empty())
    {
        return {false, "not a query"};
    }
    return lookup(rows, parsed.m_key);
}

std::string_view statement_key(std::string_view text)
{
    return parse(text).m_key;
}

} // namespace camphortide::standin
