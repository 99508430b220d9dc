#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

#include <camphortide/state/clock.hpp>
#include <camphortide/state/fleet_records.hpp>

namespace camphortide::coordination
{

/// How long an instance may use a primary after it last verified that the term
/// is open. A primary may acknowledge writes without its replicas, so for an
/// instance that can't be reached only this lease ends the use. Longer than the
/// usual outages of the store (4 to 9 s), so that these don't interrupt anyone.
inline constexpr state::duration permit_lease{10000};

/// What an instance knows about a group's primary.
struct primary_status
{
    std::uint64_t m_term = 0;
    /// Member id.
    std::string m_primary;
    /// The term is open and this instance is registered.
    bool m_open = false;
    /// The use of the primary has to end.
    bool m_closing = false;
    /// For a closing record: statements in flight may complete.
    bool m_orderly = false;
    /// Revision of the term record in the store.
    state::store_revision m_revision;
    /// When the read of the store that confirmed this was sent.
    state::time_point m_verified_at;

    friend auto operator<=>(primary_status const&,
                            primary_status const&) = default;
};

/// @param registered this instance is registered in the store
/// @param verified_at when the read that verified the record was sent
/// @return what the record says about the primary; nothing if it was written
///     before the store came back from a copy: then it may have been replaced
///     since
std::optional<primary_status>
status_of(state::stored<state::term_record> const& record, bool registered,
          state::time_point verified_at);

/// An instance's permit to use a group's primary. It is checked before a
/// statement is sent and again when its reply arrives.
///
/// A permit of an earlier era of the store stays valid until it lapses: no
/// primary is replaced before that unless the instance has closed it.
class primary_permit
{
public:
    /// Updates the permit; a status older than the present one is ignored.
    void renew(primary_status const& status);

    /// Refuses new uses under records up to a revision; uses that have begun
    /// may complete.
    void stop(state::store_revision const& revision);

    /// Ends every use under records up to a revision.
    void close(state::store_revision const& revision);

    /// @return true if a new use of the primary may begin
    bool allows(state::time_point now) const;

    /// @param revision of the record under which the use began
    /// @return true if the use may continue and its replies may be delivered
    bool still_allows(state::store_revision const& revision,
                      state::time_point now) const;

    primary_status const& status() const { return m_status; }

private:
    bool confirms_open_record(primary_status const& status) const;

    primary_status m_status;
    /// Revision of the last open record.
    state::store_revision m_open_revision;
    /// Revision of the first open record of the same use of the primary: the
    /// record may have been confirmed in later eras of the store.
    state::store_revision m_open_since;
    /// When the last open record was last verified.
    state::time_point m_open_verified_at;
    state::store_revision m_stopped_up_to;
    state::store_revision m_closed_up_to;
};

} // namespace camphortide::coordination
