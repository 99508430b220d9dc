#include <algorithm>
#include <utility>

#include <camphortide/load/checker/group_log.hpp>
#include <camphortide/standin/statement_language.hpp>

namespace camphortide::load
{

namespace
{

std::vector<std::uint64_t> const no_indices;

std::vector<std::uint64_t> const&
look_up(std::map<std::string, std::vector<std::uint64_t>> const& in,
        std::string const& name)
{
    auto const found = in.find(name);
    return found == in.end() ? no_indices : found->second;
}

} // namespace

group_log::group_log(std::string group, std::vector<standin::record> records)
    : m_group(std::move(group)),
      m_records(std::move(records))
{
    standin::table rows;
    std::uint64_t index = 0;
    for (auto const& record : m_records)
    {
        ++index;
        if (record.m_barrier)
        {
            continue;
        }
        m_keys[record.m_key].push_back(index);
        for (auto const& statement : record.m_statements)
        {
            m_statements[statement].push_back(index);
            standin::run_statement(rows, statement);
            std::string const row(standin::statement_key(statement));
            auto const now = rows.find(row);
            auto& versions = m_rows[row];
            if (now != rows.end() &&
                (versions.empty() || versions.back().m_value != now->second))
            {
                versions.push_back({index, now->second});
            }
        }
    }
}

std::vector<std::uint64_t> const&
group_log::records_with_key(std::string const& key) const
{
    return look_up(m_keys, key);
}

std::vector<std::uint64_t> const&
group_log::records_containing(std::string const& statement) const
{
    return look_up(m_statements, statement);
}

std::optional<version_span> group_log::find(std::string_view row,
                                            std::string_view value) const
{
    auto const versions = m_rows.find(row);
    bool const never_written =
        versions == m_rows.end() || versions->second.empty();
    if (never_written)
    {
        return value.empty() ? std::optional<version_span>(version_span{})
                             : std::nullopt;
    }
    auto const& all = versions->second;
    if (value.empty())
    {
        return version_span{0, all.front().m_index};
    }
    auto const found = std::ranges::find(all, value, &row_version::m_value);
    if (found == all.end())
    {
        return std::nullopt;
    }
    auto const next = found + 1;
    return version_span{found->m_index, next == all.end()
                                            ? std::nullopt
                                            : std::optional(next->m_index)};
}

} // namespace camphortide::load
