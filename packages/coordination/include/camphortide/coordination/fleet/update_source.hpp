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

/// An instance that passes on what it hears from the store.
struct update_relay
{
    std::string m_name;
    std::string m_address;

    friend auto operator<=>(update_relay const&, update_relay const&) = default;
};

/// Whom an instance asks for what the store holds, the preferred one first;
/// nothing stands for the store itself.
using update_source_order = std::vector<std::optional<update_relay>>;

/// Instances of one data centre for each that asks the store itself. Each
/// call to the store has its price, and its rates grow more slowly than the
/// fleet; an answer to another instance takes about 0.1 ms of a core.
inline constexpr std::size_t instances_per_watcher = 40;

/// Orders whom an instance asks. In each data centre a few instances watch the
/// store, the others ask these. Where they fail the store comes next: news
/// must not be late by the time that several silent instances take.
/// @param self the instance's name
/// @param instances all that are registered
/// @param prefer_store the instance needs the store's own answers
update_source_order order_update_sources(
    std::string_view self,
    std::map<std::string, state::stored<state::instance_entry>> const&
        instances,
    bool prefer_store);

/// Chooses whom to ask next, after failures too.
class update_source
{
public:
    /// How long a peer that failed isn't source: about a restart.
    static constexpr state::duration peer_cooldown{2000};
    /// How long a store that failed isn't source while a peer answers. Its own
    /// silence costs most of a second each time.
    static constexpr state::duration store_cooldown{4000};

    void set_order(update_source_order order) { m_order = std::move(order); }

    /// @return the peer to ask; nothing: the store
    std::optional<update_relay> choose(state::time_point now) const;

    /// Takes that a call has failed.
    void failed(std::optional<update_relay> const& source,
                state::time_point now);

    /// Takes that a call has brought news.
    void succeeded(std::optional<update_relay> const& source);

private:
    update_source_order m_order;
    cooldown_set m_cooldown; ///< peers by name; the store's is empty
};

} // namespace camphortide::coordination
