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

/// A member that may serve the read.
struct read_candidate
{
    std::size_t m_member = 0;    ///< its index among the members
    bool m_covers = false;       ///< its reported applied index is sufficient
    state::duration m_service{}; ///< expected time of the read at this member
    /// When a replica that does not cover the read is expected to; nothing if
    /// waiting does not help.
    std::optional<state::time_point> m_covers_at;
};

/// The input of a strategy.
struct read_options
{
    absl::InlinedVector<read_candidate, 8> m_replicas;
    std::optional<read_candidate> m_primary;
    state::time_point m_now;
    state::time_point m_wait_until; ///< latest end of a wait
    std::uint64_t m_random = 0;
};

/// The next step of a read.
struct read_choice
{
    enum class action
    {
        send,  ///< to m_member
        wait,  ///< route again at m_until, or earlier after a status
        refuse ///< with m_reason
    };

    action m_action = action::refuse;
    std::size_t m_member = 0;
    state::time_point m_until;
    state::reason m_reason = state::reason::none;

    friend auto operator<=>(read_choice const&, read_choice const&) = default;
};

/// Chooses between a replica, waiting and the primary. It never refuses a read:
/// it returns nothing if no candidate is suitable.
class read_strategy
{
public:
    virtual ~read_strategy() = default;

    /// @return the choice; nothing if no candidate is suitable
    virtual std::optional<read_choice>
    choose(read_options const& options) const = 0;

    /// @return the strategy's name in settings and metrics
    virtual std::string_view name() const = 0;
};

/// Reads from the primary only.
std::unique_ptr<read_strategy> make_primary_only();

/// Selects a random replica, and waits until it covers the read. Uses the
/// primary if the replica is not expected to cover it in time.
std::unique_ptr<read_strategy> make_random_replica();

/// Selects the least loaded replica that covers the read. If there is none,
/// waits for one that is expected to cover it soon; otherwise uses the primary.
std::unique_ptr<read_strategy> make_covering_replica();

/// Selects the smallest expected time, including the wait. The primary's time
/// is multiplied, since it alone serves writes.
std::unique_ptr<read_strategy> make_least_time();

/// Creates a strategy by its name.
/// @param name the strategy's name in settings
/// @return the strategy; null if the name is unknown
std::unique_ptr<read_strategy> make_read_strategy(std::string_view name);

} // namespace camphortide::coordination
