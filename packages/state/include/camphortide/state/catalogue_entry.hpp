#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include <camphortide/state/entry_limits.hpp>

namespace camphortide::state
{

/// Identifies the change that last wrote a record of the catalogue.
struct change_stamp
{
    std::string m_change;        ///< the change's identifier
    std::string m_operator;      ///< who requested it
    std::uint64_t m_version = 0; ///< catalogue version that it created

    friend auto operator<=>(change_stamp const&, change_stamp const&) = default;
};

/// One entry of the catalogue: a traffic class of a customer, for one group.
struct catalogue_entry
{
    std::string m_name;
    std::string m_customer;
    std::string m_class_name;
    std::string m_group;
    std::string m_credential_hash; ///< SHA-256 of the secret, 64 hex digits
    entry_limits m_limits;
    change_stamp m_stamp;

    friend auto operator<=>(catalogue_entry const&,
                            catalogue_entry const&) = default;
};

} // namespace camphortide::state
