#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include <camphortide/state/clock.hpp>

namespace camphortide::coordination
{

/// How long a proof that a primary's term is open allows its use. Members
/// acknowledge alone, so that only time ends the use by an instance that
/// can't be told. Longer than the usual outages of the store (4 to 9 s), so
/// that these stop nobody.
inline constexpr state::duration permit_lease{10000};

/// What an instance knows of a group's primary.
struct primary_status
{
    std::uint64_t m_term = 0;
    std::string m_primary;        ///< the member's id
    bool m_open = false;          ///< and this instance is registered
    bool m_closing = false;       ///< its use has to end
    bool m_orderly = false;       ///< of a closing: what is in flight may end
    std::uint64_t m_revision = 0; ///< of the record, in the store
    /// when the read of the store was sent that proves it
    state::time_point m_verified_at;

    friend auto operator<=>(primary_status const&,
                            primary_status const&) = default;
};

/// The right of an instance to use a group's primary. It is asked before a
/// statement is sent and again when its answer comes.
class primary_permit
{
public:
    /// Takes newer knowledge; older knowledge changes nothing.
    void renew(primary_status const& status);

    /// Lets nobody begin under records up to a revision; what has begun may
    /// end.
    void stop(std::uint64_t revision);

    /// Ends every use under records up to a revision.
    void close(std::uint64_t revision);

    /// @return true if a use of the primary may begin
    bool allows(state::time_point now) const;

    /// @param revision of the record under which the use began
    /// @return true if it may go on, and its answers may be given
    bool still_allows(std::uint64_t revision, state::time_point now) const;

    primary_status const& status() const { return m_status; }

private:
    primary_status m_status;
    std::uint64_t m_open_revision = 0;    ///< last record that was open
    state::time_point m_open_verified_at; ///< of that record
    std::uint64_t m_stopped_up_to = 0;
    std::uint64_t m_closed_up_to = 0;
};

} // namespace camphortide::coordination
