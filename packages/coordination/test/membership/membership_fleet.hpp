#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <camphortide/coordination/fleet/membership.hpp>

/// Simulates several memberships on a manual clock; a message takes one step.
class membership_fleet
{
public:
    using instance_record = camphortide::state::instance_record;
    using membership = camphortide::coordination::membership;
    using outgoing_heartbeat = camphortide::coordination::outgoing_heartbeat;

    static constexpr camphortide::state::duration step{50};

    camphortide::state::time_point now() const { return m_now; }

    static std::string name(std::size_t index)
    {
        return "instance-" + std::to_string(index);
    }

    /// Starts an instance that knows the address of one other.
    void start(std::size_t index, std::size_t seed_of = 0)
    {
        instance_record self;
        self.m_name = name(index);
        self.m_address = name(index);
        self.m_data_centre = "data-centre-" + std::to_string(index % 3);
        self.m_incarnation = ++m_start_count * 1000;
        std::vector<std::string> seeds;
        if (seed_of != index)
        {
            seeds.push_back(name(seed_of));
        }
        m_instances[self.m_name] = std::make_unique<membership>(
            camphortide::coordination::membership_settings(), self, seeds,
            m_start_count, m_now);
    }

    void start_all(std::size_t count)
    {
        for (std::size_t index = 0; index < count; ++index)
        {
            start(index);
        }
    }

    void kill(std::size_t index) { m_instances.erase(name(index)); }
    void pause(std::size_t index) { m_paused.insert(name(index)); }
    void resume(std::size_t index) { m_paused.erase(name(index)); }

    /// @param lost returns true if messages between two names are lost
    void cut(std::function<bool(std::string const&, std::string const&)> lost)
    {
        m_lost = std::move(lost);
    }

    membership& at(std::size_t index) { return *m_instances.at(name(index)); }

    void send(std::string const& from, std::vector<outgoing_heartbeat> messages)
    {
        for (auto& message : messages)
        {
            m_sent.emplace_back(from, std::move(message));
        }
    }

    void run(camphortide::state::duration time)
    {
        for (auto const end = m_now + time; m_now < end;)
        {
            m_now += step;
            run_step();
        }
    }

    camphortide::state::instance_state seen(std::size_t observer,
                                            std::size_t subject)
    {
        for (auto const& record : at(observer).view())
        {
            if (record.m_name == name(subject))
            {
                return record.m_state;
            }
        }
        return camphortide::state::instance_state::gone;
    }

    /// @return true if each observer sees each subject in the state
    bool all_see(std::set<std::size_t> const& observers,
                 std::set<std::size_t> const& subjects,
                 camphortide::state::instance_state wanted)
    {
        for (std::size_t const observer : observers)
        {
            for (std::size_t const subject : subjects)
            {
                if (seen(observer, subject) != wanted)
                {
                    return false;
                }
            }
        }
        return true;
    }

private:
    void run_step()
    {
        auto const delivered = std::exchange(m_sent, {});
        for (auto const& [from, message] : delivered)
        {
            auto const target = m_instances.find(message.m_address);
            bool const lost = m_lost && m_lost(from, message.m_address);
            if (target == m_instances.end() || lost ||
                m_paused.contains(message.m_address))
            {
                continue;
            }
            send(message.m_address,
                 target->second->on_heartbeat(message.m_heartbeat, m_now));
        }
        for (auto const& [own, instance] : m_instances)
        {
            if (!m_paused.contains(own))
            {
                send(own, instance->tick(m_now));
            }
        }
    }

    std::uint64_t m_start_count = 0;
    camphortide::state::time_point m_now{camphortide::state::duration(1000)};
    std::map<std::string, std::unique_ptr<membership>> m_instances;
    std::set<std::string> m_paused;
    std::function<bool(std::string const&, std::string const&)> m_lost;
    std::vector<std::pair<std::string, outgoing_heartbeat>> m_sent;
};
