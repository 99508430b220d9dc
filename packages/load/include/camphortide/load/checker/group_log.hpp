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

/// One value that a row had, from the record that wrote it.
struct row_version
{
    std::uint64_t m_index = 0; ///< of the record, from 1; 0: before all
    std::string m_value;

    friend auto operator<=>(row_version const&, row_version const&) = default;
};

/// The versions among which a value that was read lies.
struct version_span
{
    std::uint64_t m_from = 0;             ///< record that wrote the value
    std::optional<std::uint64_t> m_until; ///< record that replaced it

    friend auto operator<=>(version_span const&, version_span const&) = default;
};

/// What a database group did in the end: the records of its last primary.
class group_log
{
public:
    /// @param group the group's name
    /// @param records of its primary after the run
    group_log(std::string group, std::vector<standin::record> records);

    std::string const& group() const { return m_group; }
    std::vector<standin::record> const& records() const { return m_records; }

    /// @param key the key as the records holds it, "OWNER/KEY"
    /// @return the indices of the records that carry a key's effect
    std::vector<std::uint64_t> const& effects(std::string const& key) const;

    /// @return the indices of the records that hold a statement
    std::vector<std::uint64_t> const&
    records_containing(std::string const& statement) const;

    /// @param row the row's name
    /// @param value as it was read; empty if the row was not there
    /// @return when the row had the value; nothing if it never had
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
