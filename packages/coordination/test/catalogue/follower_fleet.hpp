#pragma once

#include "edit_run.hpp"
#include "sample_catalogue.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include <doctest/doctest.h>

#include <camphortide/coordination/fleet/catalogue_follower.hpp>

/// Followers on a manual clock, with one store. A message takes one step, a
/// call of the store `m_store_delay`.
class follower_fleet
{
public:
    using follower = camphortide::coordination::catalogue_follower;
    using duration = camphortide::state::duration;
    using time_point = camphortide::state::time_point;

    static constexpr duration step{50};
    static constexpr duration heartbeat{1000};

    store_stub m_store;
    codec_stub m_codec;
    bool m_store_up = true;
    duration m_store_delay = step;
    std::function<bool(std::string const&, std::string const&)> m_lost;
    std::set<std::string> m_without_store; ///< their watches and reads fail
    /// Their watches deliver no events.
    std::set<std::string> m_without_watch_events;
    /// An instance went back to an older version.
    bool m_version_went_back = false;
    std::size_t m_calls = 0; ///< calls of the store, including watches
    std::size_t m_chunk_reads = 0;

    static std::string name(std::size_t index)
    {
        return "instance-" + std::to_string(index);
    }

    time_point now() const { return m_now; }

    void start(std::string const& own, std::string const& data_centre)
    {
        camphortide::state::instance_record record;
        record.m_name = own;
        record.m_data_centre = data_centre;
        m_view[own] = record;
        m_followers[own] = std::make_unique<follower>(
            camphortide::coordination::catalogue_follower_settings(), own,
            m_codec, ++m_start_count, m_now);
        distribute_view();
    }

    void start_all(std::size_t count)
    {
        for (std::size_t index = 0; index < count; ++index)
        {
            start(name(index), "data-centre-" + std::to_string(index % 3));
        }
    }

    void kill(std::string const& own)
    {
        m_followers.erase(own);
        m_view.erase(own);
        m_watching.erase(own);
        distribute_view();
    }

    follower& at(std::string const& own) { return *m_followers.at(own); }

    /// Writes a change to the store; it must be accepted.
    void edit(camphortide::coordination::catalogue_change change)
    {
        REQUIRE(edit_run(m_store, m_codec, std::move(change)).run().m_outcome ==
                edit_run::edit_outcome::accepted);
        if (m_store_up)
        {
            for (auto const& own : m_watching)
            {
                schedule(m_store_delay,
                         [this, own] { deliver_head(own, true); });
            }
        }
    }

    void fail_store()
    {
        m_store_up = false;
        for (auto const& own : std::exchange(m_watching, {}))
        {
            schedule(step,
                     [this, own] { act(own, &follower::on_store_failed); });
        }
    }

    void run(duration time)
    {
        for (auto const end = m_now + time; m_now < end;)
        {
            m_now += step;
            run_step();
        }
    }

    bool all_have(std::uint64_t version) const
    {
        for (auto const& [own, instance] : m_followers)
        {
            if (instance->version() != version)
            {
                return false;
            }
        }
        return true;
    }

private:
    void schedule(duration delay, std::function<void()> event)
    {
        m_events.emplace(m_now + delay, std::move(event));
    }

    void distribute_view()
    {
        std::vector<camphortide::state::instance_record> view;
        for (auto const& [own, record] : m_view)
        {
            view.push_back(record);
        }
        for (auto const& [own, instance] : m_followers)
        {
            instance->on_view(view, true);
        }
    }

    template <class Method, class... Arguments>
    void act(std::string const& own, Method method, Arguments... arguments)
    {
        auto const found = m_followers.find(own);
        if (found == m_followers.end())
        {
            return;
        }
        auto const before = found->second->version();
        carry_out(own,
                  ((*found->second).*method)(std::move(arguments)..., m_now));
        m_version_went_back =
            m_version_went_back || found->second->version() < before;
    }

    void carry_out(std::string const& own, follower::actions actions)
    {
        for (auto& action : actions)
        {
            std::visit([&](auto& item) { carry_out(own, item); }, action);
        }
    }

    void deliver_head(std::string const& own, bool by_watch)
    {
        bool const is_cut_off =
            m_without_store.contains(own) ||
            (by_watch && m_without_watch_events.contains(own));
        if (m_store_up && !is_cut_off)
        {
            act(own, &follower::on_store_head, m_store.head());
        }
        else if (!by_watch)
        {
            act(own, &follower::on_store_failed);
        }
    }

    void carry_out(std::string const& own,
                   camphortide::coordination::start_watch&)
    {
        ++m_calls;
        if (m_store_up)
        {
            m_watching.insert(own);
        }
    }

    void carry_out(std::string const& own,
                   camphortide::coordination::stop_watch&)
    {
        m_watching.erase(own);
    }

    void carry_out(std::string const& own, camphortide::coordination::get_head&)
    {
        ++m_calls;
        schedule(m_store_delay, [this, own] { deliver_head(own, false); });
    }

    void carry_out(std::string const& own,
                   camphortide::coordination::get_chunk& call)
    {
        ++m_calls;
        ++m_chunk_reads;
        schedule(m_store_delay,
                 [this, own, chunk = call.m_chunk]
                 {
                     if (m_store_up && !m_without_store.contains(own))
                     {
                         act(own, &follower::on_store_chunk, chunk,
                             m_store.chunk(chunk));
                         return;
                     }
                     act(own, &follower::on_store_failed);
                 });
    }

    void send(std::string const& from, std::string const& to,
              std::function<void()> event)
    {
        if (!m_lost || !m_lost(from, to))
        {
            schedule(step, std::move(event));
        }
    }

    void carry_out(std::string const& own,
                   camphortide::coordination::send_offer& message)
    {
        send(own, message.m_peer,
             [this, own, message] {
                 act(message.m_peer, &follower::on_offer, own, message.m_offer);
             });
    }

    void carry_out(std::string const& own,
                   camphortide::coordination::send_request& message)
    {
        send(own, message.m_peer,
             [this, own, message]
             {
                 auto const found = m_followers.find(message.m_peer);
                 if (found != m_followers.end())
                 {
                     carry_out(message.m_peer, found->second->on_request(
                                                   own, message.m_request));
                 }
             });
    }

    void carry_out(std::string const& own,
                   camphortide::coordination::send_parts& message)
    {
        send(own, message.m_peer,
             [this, own, message] {
                 act(message.m_peer, &follower::on_parts, own, message.m_parts);
             });
    }

    void carry_out(std::string const&,
                   camphortide::coordination::apply_catalogue& action)
    {
        REQUIRE(camphortide::coordination::assemble(action.m_head,
                                                    action.m_chunks, m_codec)
                    .has_value());
    }

    void run_step()
    {
        while (!m_events.empty() && m_events.begin()->first <= m_now)
        {
            auto const event = std::move(m_events.begin()->second);
            m_events.erase(m_events.begin());
            event();
        }
        bool const beats = m_now >= m_next_heartbeat;
        if (beats)
        {
            m_next_heartbeat = m_now + heartbeat;
            send_heartbeats();
        }
        std::vector<std::string> names;
        for (auto const& [own, instance] : m_followers)
        {
            names.push_back(own);
        }
        for (auto const& own : names)
        {
            act(own, &follower::tick);
        }
    }

    /// Each instance sends its version to one other, as heartbeats do.
    void send_heartbeats()
    {
        ++m_round;
        std::vector<std::string> names;
        for (auto const& [own, instance] : m_followers)
        {
            names.push_back(own);
        }
        for (std::size_t index = 0; index < names.size(); ++index)
        {
            auto const& own = names[index];
            auto const& to = names[(index + m_round) % names.size()];
            camphortide::coordination::catalogue_offer offer;
            offer.m_version = at(own).version();
            offer.m_confirmed_age = at(own).confirmed_age(m_now);
            if (own != to)
            {
                send(own, to,
                     [this, own, to, offer]
                     { act(to, &follower::on_offer, own, offer); });
            }
        }
    }

    time_point m_now{duration(1000)};
    time_point m_next_heartbeat{};
    std::size_t m_round = 0;
    std::uint64_t m_start_count = 0;
    std::map<std::string, camphortide::state::instance_record> m_view;
    std::map<std::string, std::unique_ptr<follower>> m_followers;
    std::set<std::string> m_watching;
    std::multimap<time_point, std::function<void()>> m_events;
};
