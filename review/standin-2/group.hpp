#pragma once

#include "record.hpp"
#include "store.hpp"

#include <atomic>
#include <memory>
#include <random>
#include <set>
#include <sstream>
#include <vector>

namespace review
{

/// One commit of a member's log.
struct commit_entry
{
    std::uint64_t m_term = 0;
    std::string m_id; ///< of the statement that committed
    std::vector<std::pair<std::string, std::string>> m_changes;
};

/// Properties of a database group.
struct group_settings
{
    int m_slots = 3;
    int m_max_connections = 16;
    int m_queue = 16;
    int m_handshake_ms = 12;
    int m_work_ms = 4;
    int m_promote_ms = 300;
    int m_heartbeat_ms = 1200;
    int m_sync_replicas = 0; ///< that receive a commit before its answer
};

/// A database group: members that speak the wire protocol, register in the
/// store, and are promoted by call.
class database_group
{
public:
    /// @param ids of the members; the first is the primary
    /// @param later ids of members that don't run yet
    database_group(std::string name, std::string const& zone,
                   std::vector<std::string> const& ids,
                   std::vector<std::string> const& later, object_store& store,
                   record_file& record, group_settings settings = {})
        : m_name(std::move(name)),
          m_settings(settings),
          m_store(store),
          m_record(record)
    {
        for (auto const& id : ids)
        {
            m_members.push_back(std::make_unique<member>(*this, id, zone));
        }
        m_members.front()->m_primary = true;
        for (auto const& id : later)
        {
            m_members.push_back(std::make_unique<member>(*this, id, zone));
            m_members.back()->m_up = false;
        }
        std::thread([this] { send_heartbeats(); }).detach();
    }

    std::string const& name() const { return m_name; }

    /// Starts a new member, which gets the primary's log.
    void start(std::string const& id)
    {
        m_record.add(m_name + ": member " + id + " starts");
        {
            std::scoped_lock const lock(m_mutex);
            auto& each = find(id);
            auto const* const source = leader();
            each.m_up = true;
            each.m_log = source->m_log;
            each.m_term = source->m_term;
        }
        report(id);
    }

    /// Ends a member without notice. Its entry lapses after three heartbeats.
    void crash(std::string const& id)
    {
        m_record.add(m_name + ": member " + id + " crashes");
        std::scoped_lock const lock(m_mutex);
        auto& each = find(id);
        each.m_up = false;
        each.m_down_since = clock_type::now();
        each.m_listener.stop();
        for (auto const* socket : each.m_sockets)
        {
            socket->shut_down();
        }
    }

    /// A planned shutdown begins: the member reports that it is draining.
    void drain(std::string const& id)
    {
        m_record.add(m_name + ": member " + id + " is draining");
        {
            std::scoped_lock const lock(m_mutex);
            find(id).m_draining = true;
        }
        report(id);
    }

    /// The platform's call that designates a member.
    /// @return HTTP status
    int promote(std::string const& id)
    {
        std::scoped_lock const lock(m_mutex);
        auto const found =
            std::find_if(m_members.begin(), m_members.end(),
                         [&](auto const& each) { return each->m_id == id; });
        if (found == m_members.end() || !(*found)->m_up)
        {
            return 409;
        }
        if (leader() == found->get())
        {
            return 200;
        }
        std::thread(
            [this, id]
            {
                pause_for(m_settings.m_promote_ms);
                take_lead(id);
            })
            .detach();
        return 200;
    }

    /// A replica that is deaf receives no commits.
    void set_deaf(std::string const& id, bool deaf)
    {
        m_record.add(m_name + ": " + id +
                     (deaf ? " receives nothing" : " receives again"));
        std::scoped_lock const lock(m_mutex);
        auto& each = find(id);
        auto const* const source = leader();
        each.m_deaf = deaf;
        if (!deaf && source->m_term >= each.m_term)
        {
            each.m_log = source->m_log;
        }
    }

    /// The store isn't available, and the members' entries lapse.
    void lapse_entries()
    {
        m_beating = false;
        for (auto const& each : m_members)
        {
            m_store.remove("servers", each->m_id);
        }
    }

    /// The store is available again.
    /// @param delays after which the members write their entries again, in ms
    void restore_entries(std::map<std::string, int> const& delays)
    {
        int last = 0;
        for (auto const& [id, delay] : delays)
        {
            last = std::max(last, delay);
            std::thread(
                [this, id = id, delay = delay]
                {
                    pause_for(delay);
                    m_record.add(m_name + ": the entry of " + id + " is back");
                    report(id);
                })
                .detach();
        }
        std::thread(
            [this, last]
            {
                pause_for(last);
                m_beating = true;
            })
            .detach();
    }

    /// @return the ids of the commits that the log of a member lacked when it
    ///     was promoted
    std::set<std::string> dropped_commits()
    {
        std::scoped_lock const lock(m_mutex);
        return m_dropped;
    }

    /// From now on a member loses the answers to a share of what it runs.
    void lose_answers(std::string const& id, double share)
    {
        std::scoped_lock const lock(m_mutex);
        find(id).m_lose_share = share;
    }

    /// @return the id of the member that leads the newest term
    std::string primary()
    {
        std::scoped_lock const lock(m_mutex);
        auto const* const found = leader();
        return found == nullptr ? std::string() : found->m_id;
    }

    /// @return the ids of statements that committed writes at a member after
    ///     another one had taken the lead
    std::set<std::string> superseded_commits()
    {
        std::scoped_lock const lock(m_mutex);
        return m_superseded;
    }

    /// @return true if the log of the newest primary has the commit
    bool kept(std::string const& statement)
    {
        std::scoped_lock const lock(m_mutex);
        auto const& log = leader()->m_log;
        return std::any_of(log.begin(), log.end(),
                           [&](auto const& each)
                           { return each.m_id == statement; });
    }

    std::size_t connections(std::string const& id)
    {
        std::scoped_lock const lock(m_mutex);
        return find(id).m_sockets.size();
    }

private:
    struct member
    {
        member(database_group& owner, std::string id, std::string zone)
            : m_id(std::move(id)),
              m_zone(std::move(zone)),
              m_listener([this, &owner](tcp_socket socket)
                         { owner.serve(*this, std::move(socket)); })
        {
        }

        std::string m_id;
        std::string m_zone;
        bool m_up = true;
        bool m_registered = false;
        bool m_primary = false;
        bool m_draining = false;
        bool m_deaf = false;
        std::uint64_t m_term = 1;
        std::uint64_t m_suspended = 0;
        std::vector<commit_entry> m_log;
        int m_busy = 0;
        int m_waiting = 0;
        double m_lose_share = 0;
        std::uint64_t m_sequence = 0;
        clock_type::time_point m_down_since;
        std::set<tcp_socket const*> m_sockets;
        listener m_listener;
    };

    /// State of one connection.
    struct session
    {
        char m_state = 'I';
        bool m_plain = false; ///< its transaction may write
        std::vector<std::pair<std::string, std::string>> m_changes;
        std::map<std::string, std::string> m_values;
        std::map<std::string, std::string> m_prepared;
    };

    struct answer
    {
        std::string m_rows;
        std::string m_error; ///< code; empty: success
    };

    member& find(std::string const& id)
    {
        return **std::find_if(m_members.begin(), m_members.end(),
                              [&](auto const& each)
                              { return each->m_id == id; });
    }

    member* leader()
    {
        member* result = nullptr;
        for (auto const& each : m_members)
        {
            bool const newer =
                each->m_primary &&
                (result == nullptr || each->m_term > result->m_term);
            result = newer ? each.get() : result;
        }
        return result;
    }

    void note_dropped(member const& chosen, member const* old)
    {
        std::set<std::string> kept_ids;
        for (auto const& entry : chosen.m_log)
        {
            kept_ids.insert(entry.m_id);
        }
        static std::vector<commit_entry> const none;
        for (auto const& entry : old == nullptr ? none : old->m_log)
        {
            if (!kept_ids.contains(entry.m_id))
            {
                m_dropped.insert(entry.m_id);
            }
        }
    }

    void take_lead(std::string const& id)
    {
        {
            std::scoped_lock const lock(m_mutex);
            auto& chosen = find(id);
            auto* const old = leader();
            if (!chosen.m_up || old == &chosen)
            {
                return;
            }
            note_dropped(chosen, old);
            chosen.m_term = (old == nullptr ? chosen.m_term : old->m_term) + 1;
            chosen.m_primary = true;
            chosen.m_suspended = 0;
            for (auto& each : m_members)
            {
                if (each->m_up && !each->m_primary && !each->m_deaf)
                {
                    each->m_log = chosen.m_log;
                    each->m_term = chosen.m_term;
                }
            }
            m_record.add(m_name + ": " + id + " leads term " +
                         std::to_string(chosen.m_term));
        }
        report(id);
        pause_for(1000);
        std::vector<std::string> demoted;
        {
            // An old primary that reaches the new one follows it.
            std::scoped_lock const lock(m_mutex);
            auto const* const newest = leader();
            for (auto& each : m_members)
            {
                if (each->m_primary && each.get() != newest && each->m_up)
                {
                    each->m_primary = false;
                    each->m_log = newest->m_log;
                    each->m_term = newest->m_term;
                    demoted.push_back(each->m_id);
                }
            }
        }
        for (auto const& each : demoted)
        {
            report(each);
        }
    }

    void report(std::string const& id)
    {
        json spec;
        {
            std::scoped_lock const lock(m_mutex);
            auto& each = find(id);
            spec = {{"service", m_name},
                    {"address",
                     "127.0.0.1:" + std::to_string(each.m_listener.port())},
                    {"zone", each.m_zone},
                    {"version", "v1"},
                    {"slots", m_settings.m_slots},
                    {"state", each.m_draining ? "draining" : "in_service"},
                    {"coldRemainingMs", 0},
                    {"dbRole", each.m_primary ? "primary" : "replica"},
                    {"sequence", ++each.m_sequence}};
            each.m_registered = true;
        }
        m_store.put("servers", id, spec);
    }

    void send_heartbeats()
    {
        while (true)
        {
            for (auto const& each : m_members)
            {
                bool up = false;
                bool lapsed = false;
                {
                    std::scoped_lock const lock(m_mutex);
                    up = each->m_up;
                    lapsed = !up && each->m_registered &&
                             clock_type::now() - each->m_down_since >
                                 milliseconds(3 * m_settings.m_heartbeat_ms);
                    each->m_registered = each->m_registered && !lapsed;
                }
                if (up && m_beating)
                {
                    report(each->m_id);
                }
                if (lapsed)
                {
                    m_store.remove("servers", each->m_id);
                }
            }
            pause_for(m_settings.m_heartbeat_ms);
        }
    }

    static std::string take_word(std::string& text)
    {
        auto const end = text.find(' ');
        auto word = text.substr(0, end);
        text = end == std::string::npos ? "" : text.substr(end + 1);
        return word;
    }

    static std::string position(member const& owner)
    {
        return owner.m_log.empty()
                   ? "1.0"
                   : std::to_string(owner.m_log.back().m_term) + '.' +
                         std::to_string(owner.m_log.size());
    }

    static bool holds(member const& owner, std::string const& wanted)
    {
        auto const dot = wanted.find('.');
        auto const index = std::stoull(wanted.substr(dot + 1));
        return index == 0 || (index <= owner.m_log.size() &&
                              owner.m_log[index - 1].m_term ==
                                  std::stoull(wanted.substr(0, dot)));
    }

    void serve(member& owner, tcp_socket socket)
    {
        {
            std::scoped_lock const lock(m_mutex);
            if (!owner.m_up)
            {
                return;
            }
            owner.m_sockets.insert(&socket);
        }
        run_session(owner, socket);
        std::scoped_lock const lock(m_mutex);
        owner.m_sockets.erase(&socket);
    }

    void run_session(member& owner, tcp_socket& socket)
    {
        auto line = socket.read_line(5000);
        if (!line || take_word(*line) != "CONNECT")
        {
            return;
        }
        auto const service = take_word(*line);
        take_word(*line); // who connects
        if (service != m_name || (!line->empty() && *line != owner.m_id))
        {
            socket.write("STMTERR MISROUTED " + owner.m_id + "\r\n");
            return;
        }
        if (connections(owner.m_id) >
            static_cast<std::size_t>(m_settings.m_max_connections))
        {
            socket.write("STMTERR OVERLOAD full\r\n");
            return;
        }
        pause_for(m_settings.m_handshake_ms);
        session state;
        socket.write(end_line(owner, state));
        while (auto query = socket.read_line())
        {
            if (take_word(*query) != "QUERY")
            {
                return;
            }
            auto const id = take_word(*query);
            auto const text = *query;
            auto const result = run(owner, state, id, *query);
            if (loses_answer(owner))
            {
                m_record.add(m_name + ": " + owner.m_id +
                             " loses the answer to " + id + ' ' + text);
                continue;
            }
            std::string reply = result.m_rows;
            reply +=
                result.m_error.empty()
                    ? "COMPLETE " + std::string(id == "-" ? "-" : "mac." + id)
                    : "STMTERR " + result.m_error + ' ' + owner.m_id;
            if (!socket.write(reply + "\r\n" + end_line(owner, state)))
            {
                return;
            }
        }
    }

    bool loses_answer(member& owner)
    {
        std::scoped_lock const lock(m_mutex);
        return owner.m_lose_share > 0 && std::uniform_real_distribution<>(0, 1)(
                                             m_random) < owner.m_lose_share;
    }

    std::string end_line(member const& owner, session const& state)
    {
        std::scoped_lock const lock(m_mutex);
        return std::string("IDLE ") + state.m_state + ' ' + position(owner) +
               "\r\n";
    }

    /// Occupies a slot for the time of some work.
    /// @return false if the queue is full
    bool work(member& owner)
    {
        std::unique_lock lock(m_mutex);
        if (owner.m_busy >= m_settings.m_slots &&
            owner.m_waiting >= m_settings.m_queue)
        {
            return false;
        }
        ++owner.m_waiting;
        m_slot_free.wait(lock,
                         [&] { return owner.m_busy < m_settings.m_slots; });
        --owner.m_waiting;
        ++owner.m_busy;
        lock.unlock();
        pause_for(m_settings.m_work_ms);
        lock.lock();
        --owner.m_busy;
        m_slot_free.notify_all();
        return true;
    }

    static answer fail(session& state, std::string const& code)
    {
        state.m_state = state.m_state == 'I' ? 'I' : 'E';
        return {{}, code};
    }

    answer run(member& owner, session& state, std::string const& id,
               std::string text)
    {
        std::string required;
        if (text.rfind("SYNCPOINT ", 0) == 0)
        {
            take_word(text);
            required = take_word(text);
        }
        auto const word = take_word(text);
        if (word == "SRVSTATE" || word == "SUSPEND" || word == "CONTINUE" ||
            word == "STEPDOWN")
        {
            return control(owner, word, text);
        }
        if (state.m_state == 'E' && word != "ROLLBACK" && word != "COMMIT")
        {
            return {{}, "MALFORMED"};
        }
        if (!required.empty())
        {
            std::scoped_lock const lock(m_mutex);
            if (!holds(owner, required))
            {
                return fail(state, "LAGGING");
            }
        }
        if (word == "BEGIN")
        {
            return begin(owner, state, text.empty());
        }
        if (word == "ROLLBACK" || (word == "COMMIT" && state.m_state == 'E'))
        {
            state.m_state = 'I';
            state.m_changes.clear();
            return {{}, word == "COMMIT" ? "ABORTED" : ""};
        }
        if (word == "RESET")
        {
            state.m_values.clear();
            state.m_prepared.clear();
            return {};
        }
        if (word == "SETPARAM")
        {
            auto const name = take_word(text);
            state.m_values[name] = text;
            return {};
        }
        if (word == "PREPARE")
        {
            auto const name = take_word(text);
            state.m_prepared[name] = take_word(text);
            return {};
        }
        return run_work(owner, state, id, word, text);
    }

    answer begin(member const& owner, session& state, bool plain)
    {
        std::scoped_lock const lock(m_mutex);
        if (state.m_state != 'I')
        {
            return fail(state, "MALFORMED");
        }
        if (plain && !owner.m_primary)
        {
            return {{}, "READONLY"};
        }
        state.m_state = 'T';
        state.m_plain = plain;
        return {};
    }

    answer run_work(member& owner, session& state, std::string const& id,
                    std::string word, std::string text)
    {
        if (word == "EXECUTE")
        {
            auto const found = state.m_prepared.find(take_word(text));
            if (found == state.m_prepared.end())
            {
                return fail(state, "NOSUCHSTMT");
            }
            word = found->second;
        }
        if (!work(owner))
        {
            return {{}, "BUSY"};
        }
        std::scoped_lock const lock(m_mutex);
        bool const writes =
            word == "STORE" || (word == "COMMIT" && !state.m_changes.empty());
        bool const needs_lead = writes || (state.m_state == 'T' &&
                                           state.m_plain && word != "COMMIT");
        if (needs_lead && !owner.m_primary)
        {
            return fail(state, "READONLY");
        }
        m_record.add(m_name + ": " + owner.m_id + " runs " + id + ' ' + word +
                     ' ' + text);
        if (word == "FETCH")
        {
            return {"ROW " + value_of(owner, text) + "\r\n", {}};
        }
        if (word == "STORE")
        {
            auto const item = take_word(text);
            state.m_changes.emplace_back(item, text);
        }
        if (word == "COMMIT" || state.m_state == 'I')
        {
            state.m_state = 'I';
            bool const received =
                commit(owner, id, std::exchange(state.m_changes, {}));
            return {{}, received ? "" : "TIMEOUT"};
        }
        return {};
    }

    static std::string value_of(member const& owner, std::string const& item)
    {
        std::string value = "none";
        for (auto const& entry : owner.m_log)
        {
            for (auto const& [name, data] : entry.m_changes)
            {
                value = name == item ? data : value;
            }
        }
        return value;
    }

    /// @return false if too few replicas received it
    bool commit(member& owner, std::string const& id,
                std::vector<std::pair<std::string, std::string>> changes)
    {
        if (changes.empty())
        {
            return true;
        }
        owner.m_log.push_back({owner.m_term, id, std::move(changes)});
        if (leader() != &owner)
        {
            m_superseded.insert(id);
        }
        int receivers = 0;
        for (auto& each : m_members)
        {
            if (each->m_up && !each->m_primary && !each->m_deaf &&
                each->m_suspended == 0 && each->m_term == owner.m_term)
            {
                each->m_log = owner.m_log;
                ++receivers;
            }
        }
        return receivers >= m_settings.m_sync_replicas;
    }

    answer control(member& owner, std::string const& word,
                   std::string const& term)
    {
        std::scoped_lock const lock(m_mutex);
        if (word == "SUSPEND")
        {
            owner.m_suspended = std::stoull(term);
        }
        else if (word == "CONTINUE")
        {
            owner.m_suspended = 0;
        }
        else if (word == "STEPDOWN" && std::stoull(term) > owner.m_term)
        {
            owner.m_primary = false;
        }
        std::ostringstream row;
        row << "ROW " << (owner.m_primary ? "primary " : "replica ")
            << owner.m_term << ' ' << position(owner) << ' '
            << owner.m_suspended << " 0 " << owner.m_busy << ' '
            << owner.m_sockets.size() << "\r\n";
        return {row.str(), {}};
    }

    std::string m_name;
    group_settings m_settings;
    object_store& m_store;
    record_file& m_record;
    std::recursive_mutex m_mutex;
    std::condition_variable_any m_slot_free;
    std::mt19937 m_random{7};
    std::set<std::string> m_superseded;
    std::set<std::string> m_dropped;
    std::atomic<bool> m_beating = true;
    std::vector<std::unique_ptr<member>> m_members;
};

} // namespace review
