#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include <camphortide/coordination/limits/connection_budget.hpp>
#include <camphortide/coordination/limits/share_manager.hpp>

namespace camphortide::coordination
{

inline share_key const connections_key{share_kind::connections, "m1"};
inline share_key const rate_key{share_kind::rate, "entry"};
inline constexpr std::int64_t connection_limit = 16;
inline constexpr std::int64_t rate_limit = 20000;
inline constexpr state::duration simulation_step{100};
inline constexpr state::duration gone_after{6000};

enum class reply_kind
{
    done,
    conflict,
    failed
};

/// A reply of the store that has not reached the home yet.
struct store_reply
{
    ledger_call m_call;
    reply_kind m_kind = reply_kind::failed;
    share_ledger m_ledger;
    std::uint64_t m_version = 0;
    state::time_point m_at;
};

/// One home: its share manager, its connections, and the injected faults.
struct home_model
{
    home_model(std::string const& name, std::uint64_t incarnation,
               double jitter)
        : m_id{name, incarnation},
          m_manager(m_id, share_timing{}, jitter)
    {
    }

    holder_id m_id;
    share_manager m_manager;
    connection_budget m_budget;
    std::int64_t m_in_use = 0; ///< connections
    std::int64_t m_wanted = 16;
    bool m_dead = false;
    bool m_paused = false;
    bool m_store_unreachable = false;
    bool m_peers_unreachable = false;
    std::optional<state::time_point> m_unresponsive_since;
    state::duration m_reply_delay{};
    std::optional<ledger_call> m_call;
    std::optional<store_reply> m_reply;
};

/// A write that takes effect long after its sender considered it failed.
struct late_write
{
    ledger_call m_call;
    state::time_point m_at;
};

/// Simulates the homes of one group, the store and one member on a manual
/// clock.
class share_simulation
{
public:
    home_model& add(std::string const& name)
    {
        m_last_incarnation += 1;
        double const jitter = static_cast<double>(m_last_incarnation % 10) / 10;
        m_homes.push_back(
            std::make_unique<home_model>(name, m_last_incarnation, jitter));
        auto& added = *m_homes.back();
        added.m_manager.set_limits(
            1, {{connections_key, connection_limit}, {rate_key, rate_limit}});
        return added;
    }

    void run(state::duration length)
    {
        for (auto const end = m_now + length; m_now < end;)
        {
            step();
        }
    }

    void step()
    {
        m_now += simulation_step;
        apply_late_writes();
        for (auto const& home : m_homes)
        {
            update_responsiveness(*home);
        }
        for (auto const& home : m_homes)
        {
            if (!home->m_dead && !home->m_paused)
            {
                finish_call(*home);
                observe(*home);
                use_connections(*home);
                call_store(*home);
            }
        }
        check();
    }

    void kill(home_model& home)
    {
        home.m_dead = true;
        m_open -= home.m_in_use;
    }

    std::int64_t exclusive(share_key const& key) const
    {
        return sum(
            key, [](share_allowance const& allowance)
            { return allowance.m_guarantee == share_guarantee::exclusive; });
    }

    std::int64_t usable(share_key const& key) const
    {
        return sum(key, [](share_allowance const&) { return true; });
    }

    std::int64_t open() const { return m_open; }
    std::int64_t refused() const { return m_refused; }
    std::int64_t max_exclusive() const { return m_max_exclusive; }
    std::int64_t max_usable_rate() const { return m_max_usable_rate; }
    std::uint64_t version() const { return m_version; }
    std::int64_t writes() const { return m_writes; }
    std::int64_t reads() const { return m_reads; }
    share_ledger const& ledger() const { return m_ledger; }
    state::time_point now() const { return m_now; }
    std::vector<std::unique_ptr<home_model>>& homes() { return m_homes; }

    bool m_store_down = false;
    double m_reply_loss_probability = 0; ///< per call
    double m_late_write_probability = 0; ///< per write
    state::duration m_late_write_delay{20000};
    std::mt19937_64 m_random{1};

private:
    template <typename Counts>
    std::int64_t sum(share_key const& key, Counts counts) const
    {
        std::int64_t total = 0;
        for (auto const& home : m_homes)
        {
            auto const allowance = home->m_manager.allowance(key, m_now);
            bool const used = !home->m_dead && counts(allowance);
            total += used ? allowance.m_amount : 0;
        }
        return total;
    }

    bool happens(double probability)
    {
        return std::uniform_real_distribution<>(0, 1)(m_random) < probability;
    }

    void update_responsiveness(home_model& home)
    {
        bool const unresponsive =
            home.m_dead || home.m_paused || home.m_peers_unreachable;
        if (!unresponsive)
        {
            home.m_unresponsive_since.reset();
        }
        else if (!home.m_unresponsive_since)
        {
            home.m_unresponsive_since = m_now;
        }
    }

    bool in_contact(home_model const& home) const
    {
        auto const alive =
            std::count_if(m_homes.begin(), m_homes.end(),
                          [](auto const& each) { return !each->m_dead; });
        auto const heard = std::count_if(m_homes.begin(), m_homes.end(),
                                         [](auto const& each) {
                                             return !each->m_dead &&
                                                    !each->m_paused &&
                                                    !each->m_peers_unreachable;
                                         });
        return !home.m_peers_unreachable && heard * 2 > alive;
    }

    void observe(home_model& home)
    {
        std::vector<holder_id> gone;
        for (auto const& other : m_homes)
        {
            bool const unresponsive =
                other->m_unresponsive_since &&
                m_now - *other->m_unresponsive_since >= gone_after;
            if (unresponsive && other.get() != &home)
            {
                gone.push_back(other->m_id);
            }
        }
        home.m_manager.set_gone(gone);
        if (in_contact(home))
        {
            home.m_manager.set_contact(m_now);
        }
        home.m_manager.set_demand(connections_key,
                                  {home.m_wanted, home.m_in_use});
        home.m_manager.set_demand(rate_key, {home.m_wanted * 1000, 0});
    }

    void use_connections(home_model& home)
    {
        auto& budget = home.m_budget;
        budget.set_allowance(home.m_manager.allowance(connections_key, m_now));
        budget.note_report(m_open, connection_limit, m_now);
        while (home.m_in_use > budget.amount())
        {
            budget.note_change(m_now);
            home.m_in_use -= 1;
            m_open -= 1;
        }
        if (home.m_in_use < home.m_wanted &&
            budget.may_open(0, home.m_in_use, m_now))
        {
            bool const full = m_open >= connection_limit;
            full ? budget.note_refusal(m_now) : budget.note_change(m_now);
            home.m_in_use += full ? 0 : 1;
            m_open += full ? 0 : 1;
            m_refused += full ? 1 : 0;
        }
        home.m_manager.set_demand(connections_key,
                                  {home.m_wanted, home.m_in_use});
    }

    void call_store(home_model& home)
    {
        if (!home.m_call && !home.m_reply)
        {
            home.m_call = home.m_manager.step(m_now);
        }
    }

    bool apply(ledger_call const& call)
    {
        if (call.m_if_version != m_version)
        {
            return false;
        }
        m_ledger = call.m_ledger;
        m_version += 1;
        return true;
    }

    void finish_call(home_model& home)
    {
        if (home.m_reply && m_now >= home.m_reply->m_at)
        {
            deliver(home.m_manager, *std::exchange(home.m_reply, std::nullopt));
        }
        if (!home.m_call)
        {
            return;
        }
        auto const call = *std::exchange(home.m_call, std::nullopt);
        (call.m_write ? m_writes : m_reads) += 1;
        store_reply reply{call, reply_kind::failed, {}, 0, m_now};
        if (m_store_down || home.m_store_unreachable)
        {
            home.m_reply = reply;
            return;
        }
        if (call.m_write && happens(m_late_write_probability))
        {
            m_late_writes.push_back({call, m_now + m_late_write_delay});
            home.m_reply = reply;
            return;
        }
        bool const done = !call.m_write || apply(call);
        reply.m_kind = happens(m_reply_loss_probability) ? reply_kind::failed
                       : done                            ? reply_kind::done
                                                         : reply_kind::conflict;
        reply.m_ledger = m_ledger;
        reply.m_version = m_version;
        reply.m_at += home.m_reply_delay * static_cast<int>(m_random() % 4);
        home.m_reply = reply;
    }

    void deliver(share_manager& manager, store_reply const& reply)
    {
        auto const number = reply.m_call.m_number;
        if (reply.m_kind == reply_kind::failed)
        {
            manager.call_failed(number, m_now);
        }
        else if (reply.m_kind == reply_kind::conflict)
        {
            manager.write_conflict(number, m_now);
        }
        else if (reply.m_call.m_write)
        {
            manager.write_done(number, reply.m_version, m_now);
        }
        else
        {
            manager.read_done(number, reply.m_ledger, reply.m_version, m_now);
        }
    }

    void apply_late_writes()
    {
        auto const due = [this](late_write const& each)
        {
            return each.m_at <= m_now;
        };
        for (auto const& each : m_late_writes)
        {
            if (due(each) && !m_store_down)
            {
                apply(each.m_call);
            }
        }
        std::erase_if(m_late_writes, due);
    }

    void check()
    {
        m_max_exclusive = std::max(m_max_exclusive, exclusive(connections_key));
        m_max_usable_rate = std::max(m_max_usable_rate, usable(rate_key));
    }

    state::time_point m_now;
    std::vector<std::unique_ptr<home_model>> m_homes;
    std::uint64_t m_last_incarnation = 0;
    share_ledger m_ledger;
    std::uint64_t m_version = 0;
    std::vector<late_write> m_late_writes;
    std::int64_t m_open = 0;
    std::int64_t m_refused = 0;
    std::int64_t m_max_exclusive = 0;
    std::int64_t m_max_usable_rate = 0;
    std::int64_t m_writes = 0;
    std::int64_t m_reads = 0;
};

} // namespace camphortide::coordination
