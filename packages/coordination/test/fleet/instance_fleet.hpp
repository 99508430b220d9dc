#pragma once

#include "../catalogue/edit_run.hpp"
#include "../catalogue/sample_catalogue.hpp"

#include <algorithm>
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
#include <camphortide/coordination/fleet/home_table.hpp>
#include <camphortide/coordination/fleet/membership.hpp>

/// Simulates membership, homes and catalogue of nine instances in three data
/// centres, on a manual clock and with one store. The last data centre is in
/// another region than the store and the others.
class instance_fleet
{
public:
    using duration = camphortide::state::duration;
    using time_point = camphortide::state::time_point;
    using follower = camphortide::coordination::catalogue_follower;
    using membership = camphortide::coordination::membership;

    static constexpr duration step{50};
    static constexpr std::size_t size = 9;
    static constexpr std::size_t data_centres = 3;

    instance_fleet()
    {
        change();
        for (std::size_t index = 0; index < size; ++index)
        {
            start(index);
        }
        run(duration(15'000));
    }

    // Faults that tests inject.
    void stop_store() { m_store_up = false; }
    void start_store() { m_store_up = true; }
    void partition_regions() { m_regions_partitioned = true; }
    void reconnect_regions() { m_regions_partitioned = false; }
    void pause(std::size_t index) { m_paused.insert(name(index)); }
    void resume(std::size_t index) { m_paused.erase(name(index)); }
    void kill(std::size_t index) { m_instances.erase(name(index)); }

    void start(std::size_t index)
    {
        camphortide::state::instance_record self;
        self.m_name = name(index);
        self.m_address = name(index);
        self.m_data_centre =
            "data-centre-" + std::to_string(index % data_centres);
        self.m_incarnation = ++m_start_count * 1000;
        std::vector<std::string> seeds;
        for (auto const& [own, running] : m_instances)
        {
            seeds.push_back(own);
        }
        auto added = std::make_unique<instance>(self, seeds, m_codec,
                                                m_start_count, m_now);
        m_instances[self.m_name] = std::move(added);
    }

    void leave(std::size_t index)
    {
        auto& leaving = *m_instances.at(name(index));
        carry_out(leaving, leaving.m_members.leave(m_now));
    }

    /// Writes a change of the catalogue, if the store is up.
    void change()
    {
        auto const group = "members-" + std::to_string(m_version);
        if (m_store_up &&
            edit_run(m_store, m_codec, sample_addition(group, group))
                    .run()
                    .m_outcome == edit_run::edit_outcome::accepted)
        {
            ++m_version;
            m_groups.push_back(group);
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

    // State that tests check.
    bool version_went_back() const { return m_version_went_back; }

    /// @return true if every instance has the store's version and sees exactly
    ///     the running instances as live
    bool is_consistent()
    {
        for (auto const& [own, running] : m_instances)
        {
            if (running->m_follower.version() != m_version ||
                live_names(*running) != running_names())
            {
                return false;
            }
        }
        return true;
    }

    /// @return true if every running instance has a catalogue
    bool all_ready() const
    {
        return std::ranges::all_of(m_instances, [](auto const& item)
                                   { return item.second->m_follower.ready(); });
    }

    /// @return true if, in every view, each group has two homes in two data
    ///     centres
    bool all_have_homes()
    {
        for (auto const& [own, running] : m_instances)
        {
            camphortide::coordination::home_table const homes(
                running->m_members.view(), 2);
            for (auto const& group : m_groups)
            {
                auto const chosen = homes.homes_of(group);
                if (chosen.size() != 2 ||
                    chosen[0].m_data_centre == chosen[1].m_data_centre)
                {
                    return false;
                }
            }
        }
        return true;
    }

    std::uint64_t version_at(std::size_t index)
    {
        return m_instances.at(name(index))->m_follower.version();
    }
    bool is_ready(std::size_t index)
    {
        return m_instances.at(name(index))->m_follower.ready();
    }
    std::uint64_t version() const { return m_version; }
    bool is_running(std::size_t index) const
    {
        return m_instances.contains(name(index));
    }

    bool sees_live(std::size_t observer, std::size_t subject)
    {
        return live_names(*m_instances.at(name(observer)))
            .contains(name(subject));
    }

    static std::string name(std::size_t index)
    {
        return "instance-" + std::to_string(index);
    }

private:
    struct instance
    {
        instance(camphortide::state::instance_record const& self,
                 std::vector<std::string> const& seeds, codec_stub const& codec,
                 std::uint64_t seed, time_point now)
            : m_self(self),
              m_members(camphortide::coordination::membership_settings(), self,
                        seeds, seed, now),
              m_follower(
                  camphortide::coordination::catalogue_follower_settings(),
                  self.m_name, codec, seed + 1, now)
        {
        }

        camphortide::state::instance_record m_self;
        membership m_members;
        follower m_follower;
        std::uint64_t m_revision = ~std::uint64_t{0};
    };

    std::set<std::string> running_names() const
    {
        std::set<std::string> result;
        for (auto const& [own, running] : m_instances)
        {
            result.insert(own);
        }
        return result;
    }

    static std::set<std::string> live_names(instance const& running)
    {
        std::set<std::string> result;
        for (auto const& record : running.m_members.view())
        {
            if (camphortide::state::is_live(record.m_state))
            {
                result.insert(record.m_name);
            }
        }
        return result;
    }

    static bool is_far(std::string const& own)
    {
        return std::stoul(own.substr(own.find('-') + 1)) % data_centres ==
               data_centres - 1;
    }

    void send(instance const& from, std::string const& to,
              std::function<void(instance&)> event)
    {
        bool const crosses = is_far(from.m_self.m_name) != is_far(to);
        if (!(crosses && m_regions_partitioned))
        {
            schedule(to, std::move(event));
        }
    }

    void schedule(std::string const& to, std::function<void(instance&)> event)
    {
        m_events.emplace_back(to, std::move(event));
    }

    void carry_out(
        instance& from,
        std::vector<camphortide::coordination::outgoing_heartbeat> const& out)
    {
        for (auto const& action : out)
        {
            auto const beat = action.m_heartbeat;
            send(from, action.m_address,
                 [this, beat](instance& to)
                 {
                     carry_out(to, to.m_members.on_heartbeat(beat, m_now));
                     act(to, &follower::on_offer, beat.m_sender.m_name,
                         camphortide::coordination::catalogue_offer{
                             beat.m_held.m_catalogue, false,
                             beat.m_held.m_confirmed_age});
                 });
        }
    }

    template <class Method, class... Arguments>
    void act(instance& at, Method method, Arguments... arguments)
    {
        auto const before = at.m_follower.version();
        carry_out(at, (at.m_follower.*method)(std::move(arguments)..., m_now));
        m_version_went_back =
            m_version_went_back || at.m_follower.version() < before;
    }

    void carry_out(instance& from, follower::actions out)
    {
        for (auto& action : out)
        {
            std::visit([&](auto& item) { carry_out(from, item); }, action);
        }
    }

    bool reaches_store(instance const& at) const
    {
        return m_store_up &&
               !(m_regions_partitioned && is_far(at.m_self.m_name));
    }

    // Watches deliver no events here, so followers depend on their reads.
    static void carry_out(instance&, camphortide::coordination::start_watch&) {}
    static void carry_out(instance&, camphortide::coordination::stop_watch&) {}

    void carry_out(instance& from, camphortide::coordination::get_head&)
    {
        schedule(from.m_self.m_name,
                 [this](instance& to)
                 {
                     if (reaches_store(to))
                     {
                         act(to, &follower::on_store_head, m_store.head());
                         return;
                     }
                     act(to, &follower::on_store_failed);
                 });
    }

    void carry_out(instance& from, camphortide::coordination::get_chunk& call)
    {
        schedule(from.m_self.m_name,
                 [this, chunk = call.m_chunk](instance& to)
                 {
                     if (reaches_store(to))
                     {
                         act(to, &follower::on_store_chunk, chunk,
                             m_store.chunk(chunk));
                         return;
                     }
                     act(to, &follower::on_store_failed);
                 });
    }

    void carry_out(instance& from, camphortide::coordination::send_offer& sent)
    {
        send(from, sent.m_peer,
             [this, own = from.m_self.m_name, sent](instance& to)
             { act(to, &follower::on_offer, own, sent.m_offer); });
    }

    void carry_out(instance& from,
                   camphortide::coordination::send_request& sent)
    {
        send(from, sent.m_peer,
             [this, own = from.m_self.m_name, sent](instance& to)
             { carry_out(to, to.m_follower.on_request(own, sent.m_request)); });
    }

    void carry_out(instance& from, camphortide::coordination::send_parts& sent)
    {
        send(from, sent.m_peer,
             [this, own = from.m_self.m_name, sent](instance& to)
             { act(to, &follower::on_parts, own, sent.m_parts); });
    }

    void carry_out(instance&,
                   camphortide::coordination::apply_catalogue& action)
    {
        REQUIRE(camphortide::coordination::assemble(action.m_head,
                                                    action.m_chunks, m_codec)
                    .has_value());
    }

    void run_step()
    {
        auto const events = std::exchange(m_events, {});
        for (auto const& [to, event] : events)
        {
            auto const found = m_instances.find(to);
            if (found != m_instances.end() && !m_paused.contains(to))
            {
                event(*found->second);
            }
        }
        for (auto const& [own, running] : m_instances)
        {
            if (!m_paused.contains(own))
            {
                tick(*running);
            }
        }
    }

    void tick(instance& running)
    {
        auto& members = running.m_members;
        members.set_held_versions({running.m_follower.version(), 0,
                                   running.m_follower.confirmed_age(m_now)});
        carry_out(running, members.tick(m_now));
        if (running.m_revision != members.revision())
        {
            running.m_revision = members.revision();
            auto const view = members.view();
            running.m_follower.on_view(view,
                                       members.joined() || view.size() > 1);
        }
        act(running, &follower::tick);
    }

    codec_stub m_codec;
    store_stub m_store;
    bool m_store_up = true;
    bool m_regions_partitioned = false;
    bool m_version_went_back = false;
    std::uint64_t m_start_count = 0;
    std::uint64_t m_version = 0;
    time_point m_now{duration(1000)};
    std::set<std::string> m_paused;
    std::vector<std::string> m_groups;
    std::map<std::string, std::unique_ptr<instance>> m_instances;
    std::vector<std::pair<std::string, std::function<void(instance&)>>>
        m_events;
};
