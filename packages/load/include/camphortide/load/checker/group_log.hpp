#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <camphortide/standin/member_model.hpp>

namespace camphortide::load
{

/// One version of a row: the record that wrote it and its value.
struct row_version
{
    std::uint64_t m_index = 0; ///< of the record, from 1; 0: before the first
    std::string m_value;

    friend auto operator<=>(row_version const&, row_version const&) = default;
};

/// The range of log records over which a row had a value.
struct version_span
{
    std::uint64_t m_from = 0;             ///< record that wrote the value
    std::optional<std::uint64_t> m_until; ///< record that overwrote it

    friend auto operator<=>(version_span const&, version_span const&) = default;
};

/// The final log of a database group, as its last primary holds it, indexed
/// by request key, statement and row.
class group_log
{
public:
    /// @param group the group's name
    /// @param records the log of its primary after the run
    group_log(std::string group, std::vector<standin::record> records);

    std::string const& group() const { return m_group; }
    std::vector<standin::record> const& records() const { return m_records; }

    /// @param key the key as it is logged, "CUSTOMER/KEY"
    /// @return the indices of the records that have this key
    std::vector<std::uint64_t> const&
    records_with_key(std::string const& key) const;

    /// @return the indices of the records that hold a statement
    std::vector<std::uint64_t> const&
    records_containing(std::string const& statement) const;

    /// @param row the row's name
    /// @param value the value that was read; empty if the row did not exist
    /// @return the records between which the row had the value; nothing if it
    ///     never had it
    std::optional<version_span> find(std::string_view row,
                                     std::string_view value) const;

private:
    using indices = std::map<std::string, std::vector<std::uint64_t>>;

    std::string m_group;
    std::vector<standin::record> m_records;
    indices m_keys;
    indices m_statements;
    std::map<std::string, std::vector<row_version>, std::less<>> m_rows;
};

} // namespace camphortide::load
