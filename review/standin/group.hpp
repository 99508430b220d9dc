#pragma once

#include "store.hpp"

#include <algorithm>
#include <condition_variable>
#include <deque>
#include <set>

namespace review
{

/// Timing and limits of a group's members.
struct group_settings
{
    std::string m_name = "loans";
    std::size_t m_members = 3;
    int m_slots = 2;
    int m_queue = 16;
    int m_connections = 16;
    std::int64_t m_work_ms = 5;
    std::int64_t m_apply_lag_ms = 60;
    std::int64_t m_promote_ms = 300;
    std::int64_t m_heartbeat_ms = 1200;
    int m_sync_replicas = 0;
};

/// A commit in a member's log.
struct commit
{
    std::uint64_t m_term = 0;
    std::string m_id; ///< of the statement that committed it
    std::vector<std::pair<std::string, std::string>> m_changes;

    friend bool operator==(commit const&, commit const&) = default;
};

/// When a promotion had its effect.
struct lead
{
    std::int64_t m_at = 0;
    std::string m_former;
    std::string m_member;
};

/// A statement of a caller that a member ran.
struct executed
{
    std::int64_t m_at = 0;
    std::string m_member;
    std::string m_id;
    std::string m_text;
};

/// The members of one service, as published in PROTOCOL.md. Each listens on a
/// port of its own and registers itself in the store.
class group
{
public:
    group(group_settings settings, store& registry)
        : m_settings(std::move(settings)),
          m_store(registry)
    {
        for (std::size_t i = 0; i < m_settings.m_members; ++i)
        {
            auto added = std::make_unique<member>();
            added->m_id = "i-" + m_settings.m_name + std::to_string(i + 1);
            added->m_primary = i == 0;
            added->m_term = 1;
            auto* const self = added.get();
            added->m_listener = std::make_unique<listener>(
                [this, self](std::shared_ptr<connection> const& open)
                { serve(*self, *open); });
            m_members.push_back(std::move(added));
        }
        beat(now_ms());
        m_thread = std::thread([this] { keep_registered(); });
    }

    ~group()
    {
        m_running = false;
        m_thread.join();
        for (auto const& each : m_members)
        {
            {
                std::scoped_lock const lock(m_mutex);
                each->m_up = false;
            }
            m_changed.notify_all();
            each->m_listener->stop();
        }
        for (auto& each : m_promotions)
        {
            each.join();
        }
    }

    std::string const& name() const { return m_settings.m_name; }

    /// @return the id of the member that leads the newest term
    std::string primary() const
    {
        std::scoped_lock const lock(m_mutex);
        return leader().m_id;
    }

    /// @return the ids of the members that aren't the primary
    std::vector<std::string> replicas() const
    {
        std::scoped_lock const lock(m_mutex);
        std::vector<std::string> ids;
        for (auto const& each : m_members)
        {
            if (each.get() != &leader())
            {
                ids.push_back(each->m_id);
            }
        }
        return ids;
    }

    /// @return ids of the statements in the log of a member
    std::set<std::string> log_of(std::string const& id) const
    {
        std::scoped_lock const lock(m_mutex);
        std::set<std::string> ids;
        for (auto const& each : find(id).m_log)
        {
            ids.insert(each.m_id);
        }
        return ids;
    }

    /// @return the statements of callers that reached a member
    std::vector<executed> received() const
    {
        std::scoped_lock const lock(m_mutex);
        return m_received;
    }

    std::vector<executed> runs() const
    {
        std::scoped_lock const lock(m_mutex);
        return m_runs;
    }

    std::vector<lead> leads() const
    {
        std::scoped_lock const lock(m_mutex);
        return m_leads;
    }

    /// The member's process ends without notice.
    void crash(std::string const& id)
    {
        auto& ended = find(id);
        {
            std::scoped_lock const lock(m_mutex);
            ended.m_up = false;
            ++ended.m_life;
            ended.m_down_at = now_ms();
        }
        m_changed.notify_all();
        ended.m_listener->stop();
    }

    /// A member that crashed starts again with its log.
    void restart(std::string const& id)
    {
        auto& started = find(id);
        {
            std::scoped_lock const lock(m_mutex);
            auto const& current = leader();
            if (current.m_id != id)
            {
                started.m_primary = false;
                if (current.m_up)
                {
                    follow(started, current);
                }
            }
            started.m_connections = 0;
            started.m_used_slots = started.m_queued = 0;
            started.m_up = true;
        }
        started.m_listener->start();
    }

    /// A replica receives nothing until this is called again with false.
    void set_deaf(std::string const& id, bool deaf)
    {
        std::scoped_lock const lock(m_mutex);
        auto& changed = find(id);
        changed.m_deaf = deaf;
        if (!deaf && leader().m_up && &changed != &leader())
        {
            follow(changed, leader());
        }
    }

    /// The member reports that it is draining.
    /// @return when the store had accepted the report
    std::int64_t drain(std::string const& id)
    {
        {
            std::scoped_lock const lock(m_mutex);
            find(id).m_draining = true;
        }
        beat(now_ms());
        return now_ms();
    }

    /// A draining member exits.
    void leave(std::string const& id)
    {
        {
            std::scoped_lock const lock(m_mutex);
            find(id).m_gone = true;
        }
        crash(id);
        m_store.remove("servers", id);
    }

    /// Takes a promotion, which has its effect some hundred ms later.
    /// @return the HTTP status
    unsigned promote(std::string const& id)
    {
        std::scoped_lock const lock(m_mutex);
        auto const known = std::ranges::any_of(m_members, [&](auto const& each)
                                               { return each->m_id == id; });
        if (!known || !find(id).m_up)
        {
            return 409;
        }
        if (leader().m_id == id)
        {
            return 200;
        }
        m_promotions.emplace_back([this, id] { take_lead(id); });
        return 200;
    }

private:
    struct member
    {
        std::string m_id;
        std::unique_ptr<listener> m_listener;
        bool m_up = true;
        bool m_gone = false;
        bool m_draining = false;
        bool m_primary = false;
        bool m_deaf = false;
        std::uint64_t m_term = 0;
        std::uint64_t m_life = 0; ///< counts crashes
        std::vector<commit> m_log;
        std::vector<std::int64_t> m_applied_at; ///< by index of the log
        int m_connections = 0;
        int m_used_slots = 0;
        int m_queued = 0;
        std::int64_t m_down_at = 0;
        std::uint64_t m_sequence = 0;
    };

    struct session
    {
        bool m_in_transaction = false;
        bool m_failed = false;
        bool m_read_only = false;
        std::vector<std::pair<std::string, std::string>> m_changes;
        std::map<std::string, std::string> m_prepared;
    };

    member& find(std::string const& id) const
    {
        return **std::ranges::find_if(m_members, [&](auto const& each)
                                      { return each->m_id == id; });
    }

    member& leader() const
    {
        member* best = m_members.front().get();
        for (auto const& each : m_members)
        {
            if (each->m_primary &&
                (!best->m_primary || each->m_term > best->m_term))
            {
                best = each.get();
            }
        }
        return *best;
    }

    void receive(member& replica, commit const& value, std::uint64_t term)
    {
        replica.m_term = std::max(replica.m_term, term);
        replica.m_log.push_back(value);
        replica.m_applied_at.push_back(now_ms() + m_settings.m_apply_lag_ms);
    }

    /// A replica rolls back what its primary lacks, and receives the rest.
    void follow(member& replica, member const& source)
    {
        auto const have = replica.m_log.size();
        std::size_t common = 0;
        if (have > 0 && have <= source.m_log.size() &&
            replica.m_log[have - 1] == source.m_log[have - 1])
        {
            common = have; // logs that agree on an entry agree up to it
        }
        while (common < replica.m_log.size() && common < source.m_log.size() &&
               replica.m_log[common] == source.m_log[common])
        {
            ++common;
        }
        replica.m_log.resize(common);
        replica.m_applied_at.resize(common);
        for (std::size_t i = common; i < source.m_log.size(); ++i)
        {
            receive(replica, source.m_log[i], source.m_term);
        }
        replica.m_term = std::max(replica.m_term, source.m_term);
    }

    void take_lead(std::string const& id)
    {
        sleep_ms(m_settings.m_promote_ms);
        std::unique_lock lock(m_mutex);
        auto& chosen = find(id);
        if (!chosen.m_up || &chosen == &leader())
        {
            return;
        }
        auto& former = leader();
        chosen.m_term = former.m_term + 1;
        chosen.m_primary = true;
        chosen.m_deaf = false;
        m_leads.push_back({now_ms(), former.m_id, id});
        std::ranges::fill(chosen.m_applied_at, now_ms());
        for (auto const& each : m_members)
        {
            if (each.get() != &chosen && each.get() != &former && each->m_up)
            {
                follow(*each, chosen);
            }
        }
        lock.unlock();
        beat(now_ms());
        // The former primary ends its term a second after it can reach the new
        // one.
        sleep_ms(1000);
        lock.lock();
        if (former.m_up && former.m_primary && former.m_term < chosen.m_term)
        {
            former.m_primary = false;
            follow(former, chosen);
        }
    }

    void keep_registered()
    {
        constexpr std::int64_t step = 100;
        while (m_running)
        {
            sleep_ms(step);
            beat(now_ms());
        }
    }

    /// Writes the entries that have changed and removes those of members that
    /// have been silent for three intervals.
    void beat(std::int64_t now)
    {
        struct entry
        {
            std::string m_id;
            std::string m_spec; ///< empty: removed
        };
        std::vector<entry> entries;
        {
            std::scoped_lock const lock(m_mutex);
            for (auto const& each : m_members)
            {
                if (each->m_gone ||
                    (!each->m_up &&
                     now - each->m_down_at > 3 * m_settings.m_heartbeat_ms))
                {
                    entries.push_back({each->m_id, {}});
                }
                else if (each->m_up)
                {
                    entries.push_back({each->m_id, spec_of(*each)});
                }
            }
        }
        for (auto const& each : entries)
        {
            each.m_spec.empty()
                ? m_store.remove("servers", each.m_id)
                : m_store.put("servers", each.m_id, each.m_spec);
        }
    }

    std::string spec_of(member const& each) const
    {
        return R"({"service":")" + m_settings.m_name +
               R"(","address":"127.0.0.1:)" +
               std::to_string(each.m_listener->port()) +
               R"(","zone":"zone-a","version":"v1","slots":)" +
               std::to_string(m_settings.m_slots) + R"(,"state":")" +
               (each.m_draining ? "draining" : "in_service") +
               R"(","coldRemainingMs":0,"dbRole":")" +
               (each.m_primary ? "primary" : "replica") + R"(","sequence":4})";
    }

    // One connection.

    std::size_t applied(member const& each) const
    {
        if (each.m_primary)
        {
            return each.m_log.size();
        }
        auto const now = now_ms();
        std::size_t count = 0;
        while (count < each.m_log.size() && each.m_applied_at[count] <= now)
        {
            ++count;
        }
        return count;
    }

    static std::string position(member const& each, std::size_t count)
    {
        auto const term = count == 0 ? 1 : each.m_log[count - 1].m_term;
        return std::to_string(term) + '.' + std::to_string(count);
    }

    std::string idle(member const& each, session const& current) const
    {
        return std::string("IDLE ") +
               (current.m_failed           ? 'E'
                : current.m_in_transaction ? 'T'
                                           : 'I') +
               ' ' + position(each, applied(each)) + "\r\n";
    }

    void serve(member& self, connection& open)
    {
        auto const hello = open.read_line();
        if (!hello)
        {
            return;
        }
        auto rest = *hello;
        take_word(rest);
        auto const service = take_word(rest);
        take_word(rest);
        session current;
        {
            std::scoped_lock const lock(m_mutex);
            if (service != m_settings.m_name ||
                (!rest.empty() && rest != self.m_id))
            {
                open.write("STMTERR MISROUTED " + self.m_id + "\r\n");
                return;
            }
            if (self.m_connections >= m_settings.m_connections)
            {
                open.write("STMTERR OVERLOAD full\r\n");
                return;
            }
            ++self.m_connections;
            open.write(idle(self, current));
        }
        while (auto line = open.read_line())
        {
            if (take_word(*line) != "QUERY")
            {
                break;
            }
            auto const id = take_word(*line);
            auto const answer = run(self, current, id, *line);
            if (answer.empty() || !open.write(answer))
            {
                break;
            }
        }
        std::scoped_lock const lock(m_mutex);
        --self.m_connections;
    }

    std::string fail(member const& self, session& current, char const* code,
                     bool ends = true)
    {
        current.m_failed =
            current.m_failed || (ends && current.m_in_transaction);
        return std::string("STMTERR ") + code + ' ' + self.m_id + "\r\n" +
               idle(self, current);
    }

    std::string complete(member const& self, session const& current,
                         std::string const& rows = {})
    {
        return rows + "COMPLETE mac." + self.m_id + '.' +
               std::to_string(++m_answers) + "\r\n" + idle(self, current);
    }

    std::string run(member& self, session& current, std::string const& id,
                    std::string text)
    {
        std::unique_lock lock(m_mutex);
        if (!self.m_up)
        {
            return {};
        }
        std::string required;
        if (text.starts_with("SYNCPOINT "))
        {
            take_word(text);
            required = take_word(text);
        }
        auto const whole = text;
        if (id != "-")
        {
            m_received.push_back({now_ms(), self.m_id, id, whole});
        }
        auto const word = take_word(text);
        if (word == "SRVSTATE")
        {
            auto const count = self.m_log.size();
            return complete(
                self, current,
                std::string("ROW ") +
                    (self.m_primary ? "primary " : "replica ") +
                    std::to_string(self.m_term) + ' ' + position(self, count) +
                    " 0 " +
                    std::to_string(self.m_primary ? 0
                                                  : m_settings.m_apply_lag_ms) +
                    ' ' + std::to_string(self.m_used_slots) + ' ' +
                    std::to_string(self.m_connections) + "\r\n");
        }
        if (word == "ROLLBACK")
        {
            current = {{}, {}, {}, {}, current.m_prepared};
            return complete(self, current);
        }
        if (current.m_failed && word != "COMMIT")
        {
            return fail(self, current, "MALFORMED");
        }
        if (word == "RESET")
        {
            current.m_prepared.clear();
            return complete(self, current);
        }
        if (word == "SETPARAM")
        {
            return complete(self, current);
        }
        if (word == "PREPARE")
        {
            auto const name = take_word(text);
            current.m_prepared[name] = take_word(text);
            return complete(self, current);
        }
        if (!required.empty() && !holds(self, required))
        {
            return fail(self, current, "LAGGING");
        }
        if (word == "BEGIN")
        {
            if (current.m_in_transaction)
            {
                return fail(self, current, "MALFORMED");
            }
            if (text.empty() && !self.m_primary)
            {
                return fail(self, current, "READONLY");
            }
            current.m_in_transaction = true;
            current.m_read_only = text == "FETCH";
            return complete(self, current);
        }
        return run_statement(self, current, id, whole, lock);
    }

    bool holds(member const& self, std::string const& required) const
    {
        auto const dot = required.find('.');
        auto const term = std::stoull(required.substr(0, dot));
        auto const index = std::stoull(required.substr(dot + 1));
        return index == 0 ||
               (index <= applied(self) && self.m_log[index - 1].m_term == term);
    }

    /// @param life of the process that began the work
    static bool ended(member const& self, std::uint64_t life)
    {
        return !self.m_up || self.m_life != life;
    }

    /// Takes a slot for the time of the work.
    /// @return false if the process ended meanwhile
    bool work(member& self, std::unique_lock<std::mutex>& lock)
    {
        auto const life = self.m_life;
        ++self.m_queued;
        m_changed.wait(lock,
                       [&] {
                           return ended(self, life) ||
                                  self.m_used_slots < m_settings.m_slots;
                       });
        if (ended(self, life))
        {
            return false;
        }
        --self.m_queued;
        ++self.m_used_slots;
        lock.unlock();
        sleep_ms(m_settings.m_work_ms);
        lock.lock();
        if (ended(self, life))
        {
            return false;
        }
        --self.m_used_slots;
        m_changed.notify_all();
        return true;
    }

    /// @return empty if the process ended
    std::string run_statement(member& self, session& current,
                              std::string const& id, std::string text,
                              std::unique_lock<std::mutex>& lock)
    {
        auto const whole = text;
        auto type = take_word(text);
        if (type == "EXECUTE")
        {
            auto const prepared = current.m_prepared.find(take_word(text));
            if (prepared == current.m_prepared.end())
            {
                return fail(self, current, "NOSUCHSTMT");
            }
            type = prepared->second;
        }
        if (self.m_queued >= m_settings.m_queue)
        {
            return fail(self, current, "BUSY", false);
        }
        if (!work(self, lock))
        {
            return {};
        }
        bool const plain = current.m_in_transaction && !current.m_read_only;
        bool const reads_only = type == "COMMIT" && current.m_changes.empty();
        if ((type == "STORE" || (plain && !reads_only)) && !self.m_primary)
        {
            return fail(self, current, "READONLY");
        }
        m_runs.push_back({now_ms(), self.m_id, id, whole});
        if (type == "COMMIT")
        {
            auto const changes = std::move(current.m_changes);
            current = {{}, {}, {}, {}, current.m_prepared};
            if (!changes.empty() &&
                !append(self, {self.m_term, id, changes}, lock))
            {
                return {};
            }
            return complete(self, current);
        }
        auto const item = take_word(text);
        if (type == "FETCH")
        {
            return complete(self, current,
                            "ROW " + value_of(self, current, item) + "\r\n");
        }
        if (current.m_in_transaction)
        {
            current.m_changes.emplace_back(item, text);
        }
        else if (!append(self, {self.m_term, id, {{item, text}}}, lock))
        {
            return {};
        }
        return complete(self, current);
    }

    /// Commits at the primary. With m_sync_replicas, waits until a replica has
    /// received the commit.
    /// @return false if the process ended meanwhile
    bool append(member& self, commit const& value,
                std::unique_lock<std::mutex>& lock)
    {
        auto const life = self.m_life;
        self.m_log.push_back(value);
        self.m_applied_at.push_back(now_ms());
        auto const size = self.m_log.size();
        for (auto const& each : m_members)
        {
            if (each.get() != &self && each->m_up && !each->m_deaf &&
                !each->m_primary)
            {
                follow(*each, self);
            }
        }
        constexpr ms poll_interval{5};
        auto const received = [&]
        {
            return m_settings.m_sync_replicas == 0 ||
                   std::ranges::any_of(m_members,
                                       [&](auto const& each)
                                       {
                                           return each.get() != &self &&
                                                  each->m_up &&
                                                  each->m_log.size() >= size &&
                                                  each->m_log[size - 1] ==
                                                      value;
                                       });
        };
        while (!ended(self, life) && !received())
        {
            m_changed.wait_for(lock, poll_interval);
        }
        return !ended(self, life);
    }

    std::string value_of(member const& self, session const& current,
                         std::string const& item) const
    {
        std::string value = "none";
        auto const count = applied(self);
        for (std::size_t i = 0; i < count; ++i)
        {
            for (auto const& [name, data] : self.m_log[i].m_changes)
            {
                value = name == item ? data : value;
            }
        }
        for (auto const& [name, data] : current.m_changes)
        {
            value = name == item ? data : value;
        }
        return value;
    }

    group_settings m_settings;
    store& m_store;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<std::unique_ptr<member>> m_members;
    std::vector<lead> m_leads;
    std::vector<executed> m_received;
    std::vector<executed> m_runs;
    std::uint64_t m_answers = 0;
    std::vector<std::thread> m_promotions;
    std::atomic<bool> m_running = true;
    std::thread m_thread;
};

} // namespace review
