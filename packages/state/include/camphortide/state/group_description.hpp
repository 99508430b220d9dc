#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include <camphortide/state/catalogue_entry.hpp>

namespace camphortide::state
{

/// Address and location of a member of a database group.
struct member_description
{
    std::string m_name;
    std::string m_address; ///< HOST:PORT
    std::string m_data_centre;
    bool m_leaving = false; ///< gets no new work

    friend auto operator<=>(member_description const&,
                            member_description const&) = default;
};

/// A database group as described by the catalogue.
struct group_description
{
    std::string m_name;
    std::vector<member_description> m_members;
    std::uint32_t m_connection_limit = 0; ///< per member
    std::uint32_t m_slots = 0; ///< statements that a member runs concurrently
    change_stamp m_stamp;

    friend auto operator<=>(group_description const&,
                            group_description const&) = default;
};

} // namespace camphortide::state
