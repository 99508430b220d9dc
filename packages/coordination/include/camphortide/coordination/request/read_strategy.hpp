#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>

#include <absl/container/inlined_vector.h>

#include <camphortide/state/clock.hpp>
#include <camphortide/state/outcome.hpp>

namespace camphortide::coordination
{

/// A member that may serve the read at hand.
struct read_candidate
{
    std::size_t m_member = 0;    ///< its place among the members
    bool m_covers = false;       ///< its applied index is known to suffice
    state::duration m_service{}; ///< expected time of the read there
    /// when a replica that does not cover the read is expected to; nothing
    /// if waiting does not help
    std::optional<state::time_point> m_covers_at;
};

/// What a strategy chooses from.
struct read_options
{
    absl::InlinedVector<read_candidate, 8> m_replicas;
    std::optional<read_candidate> m_primary;
    state::time_point m_now;
    state::time_point m_wait_until; ///< no wait may end later
    std::uint64_t m_random = 0;
};

/// Where a read goes next.
struct read_choice
{
    enum class action
    {
        send,  ///< to m_member
        wait,  ///< choose again at m_until, or after a status if sooner
        refuse ///< with m_reason
    };

    action m_action = action::refuse;
    std::size_t m_member = 0;
    state::time_point m_until;
    state::reason m_reason = state::reason::none;

    friend auto operator<=>(read_choice const&, read_choice const&) = default;
};

/// Chooses between a replica, a wait and the primary. Never refuses: without
/// a choice it returns nothing.
class read_strategy
{
public:
    virtual ~read_strategy() = default;

    /// @return the choice; nothing if no candidate suits
    virtual std::optional<read_choice>
    choose(read_options const& options) const = 0;

    /// @return the strategy's name in settings and metrics
    virtual std::string_view name() const = 0;
};

/// Reads from the primary only.
std::unique_ptr<read_strategy> make_primary_only();

/// Picks any replica, and waits there until it covers the read; the primary
/// if the replica is not expected to in time.
std::unique_ptr<read_strategy> make_random_replica();

/// Picks the replica that covers the read and has the least to do; else
/// waits for one that is expected to cover it soon; else the primary.
std::unique_ptr<read_strategy> make_covering_replica();

/// Picks the least expected time, the wait included. The primary's time
/// counts several times, since it alone serves writes.
std::unique_ptr<read_strategy> make_least_time();

/// @param name a strategy's name
/// @return the strategy; null if there is none of the name
std::unique_ptr<read_strategy> make_read_strategy(std::string_view name);

} // namespace camphortide::coordination
