#include <charconv>
#include <sstream>

#include <camphortide/standin/statement_language.hpp>

namespace camphortide::standin
{

namespace
{

std::int64_t to_number(std::string_view text)
{
    std::int64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

statement_result get(table& rows, std::string const& key, std::string const&)
{
    auto const found = rows.find(key);
    return {true, found == rows.end() ? std::string() : found->second};
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
    cell = std::to_string(to_number(cell) + to_number(value));
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
    std::istringstream words{std::string(text)};
    std::string name;
    std::string key;
    std::string value;
    words >> name >> key;
    std::getline(words >> std::ws, value);
    for (auto const& candidate : operations)
    {
        if (candidate.m_name == name && !key.empty())
        {
            return candidate.m_run(rows, key, value);
        }
    }
    return {false, "unknown statement"};
}

} // namespace camphortide::standin
