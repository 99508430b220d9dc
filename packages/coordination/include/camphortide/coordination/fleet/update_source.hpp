#pragma once

#include <compare>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <camphortide/coordination/fleet/cooldown_set.hpp>
#include <camphortide/state/clock.hpp>
#include <camphortide/state/fleet_records.hpp>

namespace camphortide::coordination
{

/// An instance that passes on the store updates it receives.
struct update_relay
{
    std::string m_name;
    std::string m_address;

    friend auto operator<=>(update_relay const&, update_relay const&) = default;
};

/// Sources from which an instance requests store updates, by preference; no
/// relay stands for the store itself.
using update_source_order = std::vector<std::optional<update_relay>>;

/// Instances per data centre for each one that requests updates from the store
/// itself. Calls to the store are costly, and the call rates it allows grow
/// more slowly than the fleet; answering another instance takes about 0.1 ms of
/// a core.
inline constexpr std::size_t instances_per_watcher = 40;

/// Orders the sources of store updates for one instance. A few instances in
/// each data centre watch the store, the others request updates from these.
/// After the relays of the own data centre comes the store, because updates
/// would be late if several unresponsive instances had to time out first.
/// @param self the name of the instance
/// @param instances all registered instances
/// @param prefer_store true if the instance needs answers from the store itself
/// @return the sources
update_source_order order_update_sources(
    std::string_view self,
    std::map<std::string, state::stored<state::instance_entry>> const&
        instances,
    bool prefer_store);

/// Chooses the source of the next request, skipping those that failed recently.
class update_source
{
public:
    /// How long a relay that failed is skipped: about the time of a restart.
    static constexpr state::duration relay_cooldown{2000};
    /// How long a store that failed is skipped while a relay answers. Each call
    /// of an unresponsive store takes most of a second.
    static constexpr state::duration store_cooldown{4000};

    void set_order(update_source_order order) { m_order = std::move(order); }

    /// @return the relay to use; none: the store
    std::optional<update_relay> choose(state::time_point now) const;

    /// @return false if a call to the store failed recently
    bool store_available(state::time_point now) const;

    /// Records a failed call.
    void failed(std::optional<update_relay> const& source,
                state::time_point now);

    /// Records that a call returned updates.
    void succeeded(std::optional<update_relay> const& source);

private:
    update_source_order m_order;
    cooldown_set m_cooldown; ///< relays by name; the store by an empty name
};

} // namespace camphortide::coordination
