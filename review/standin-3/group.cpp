#include "group.hpp"

#include <algorithm>

namespace review
{

namespace
{

constexpr std::size_t first_number = 1000;
constexpr milliseconds handshake_time{12};
constexpr milliseconds work_time{4};
/// Between two members.
constexpr milliseconds network_delay{1};
constexpr milliseconds upkeep_interval{20};
/// An entry is removed after this many heartbeat intervals of silence.
constexpr int silent_heartbeats = 3;

std::string take_word(std::string& text)
{
    auto const end = std::min(text.find(' '), text.size());
    auto word = text.substr(0, end);
    text.erase(0, end + 1);
    return word;
}

} // namespace

/// A connection to a member.
class group::session
{
public:
    session(group& owner, member& self) : m_owner(owner), m_self(self) {}

    /// @return the answer; nothing if the member ended meanwhile
    std::optional<std::string> handle(std::string const& id, std::string text)
    {
        std::string required;
        if (text.starts_with("SYNCPOINT "))
        {
            take_word(text);
            required = take_word(text);
        }
        auto const word = take_word(text);
        std::unique_lock lock(m_owner.m_mutex);
        if (word == "SRVSTATE" || word == "SUSPEND" || word == "CONTINUE" ||
            word == "STEPDOWN")
        {
            return report();
        }
        if (!required.empty() && !holds(required))
        {
            return fail("LAGGING");
        }
        if (m_failed && word != "ROLLBACK")
        {
            return fail("MALFORMED");
        }
        return run(id, word, text, lock);
    }

private:
    bool holds(std::string const& required) const
    {
        auto const dot = required.find('.');
        auto const term = std::stoull(required.substr(0, dot));
        auto const number = std::stoull(required.substr(dot + 1));
        if (number <= first_number)
        {
            return true;
        }
        auto const index = number - first_number;
        return index <= m_self.m_log.size() &&
               m_self.m_log[index - 1].m_term == term;
    }

    std::string idle() const
    {
        char const* const state = m_failed ? "E" : m_open ? "T" : "I";
        return std::string("IDLE ") + state + ' ' + position(m_self) + "\r\n";
    }

    std::string report() const
    {
        return "ROW " + std::string(m_self.m_primary ? "primary" : "replica") +
               ' ' + std::to_string(m_self.m_term) + ' ' + position(m_self) +
               " 0 0 0 " + std::to_string(m_self.m_connections) +
               "\r\nCOMPLETE -\r\n" + idle();
    }

    std::string complete(std::string const& id, std::string const& rows = {})
    {
        return rows + "COMPLETE mac-" + m_self.m_id + '-' + id + "\r\n" +
               idle();
    }

    std::string fail(std::string const& code)
    {
        m_failed = m_open;
        return "STMTERR " + code + ' ' + m_self.m_id + "\r\n" + idle();
    }

    std::string value_of(std::string const& item) const
    {
        std::string value = "none";
        for (auto const& each : m_self.m_log)
        {
            auto const found = each.m_changes.find(item);
            value = found == each.m_changes.end() ? value : found->second;
        }
        return value;
    }

    void end_transaction()
    {
        m_open = m_failed = false;
        m_writes.clear();
    }

    std::optional<std::string> run(std::string const& id,
                                   std::string const& word, std::string text,
                                   std::unique_lock<std::mutex>& lock)
    {
        if (word == "SETPARAM")
        {
            return complete("-");
        }
        if (word == "RESET")
        {
            m_prepared.clear();
            return complete("-");
        }
        if (word == "PREPARE")
        {
            auto const name = take_word(text);
            m_prepared[name] = take_word(text);
            return complete("-");
        }
        if (word == "BEGIN")
        {
            if (text.empty() && !m_self.m_primary)
            {
                return fail("READONLY");
            }
            m_open = true;
            m_reads_only = !text.empty();
            return complete("-");
        }
        if (word == "ROLLBACK")
        {
            end_transaction();
            return complete("-");
        }
        lock.unlock();
        std::this_thread::sleep_for(work_time);
        lock.lock();
        return execute(id, word, text, lock);
    }

    std::optional<std::string> execute(std::string const& id,
                                       std::string const& word,
                                       std::string text,
                                       std::unique_lock<std::mutex>& lock)
    {
        auto type = word;
        if (word == "EXECUTE")
        {
            auto const prepared = m_prepared.find(take_word(text));
            if (prepared == m_prepared.end())
            {
                return fail("NOSUCHSTMT");
            }
            type = prepared->second;
        }
        bool const plain = m_open && !m_reads_only;
        if (!m_self.m_primary && (type == "STORE" || plain))
        {
            return fail("READONLY");
        }
        m_owner.m_record.note("member " + m_self.m_id + ": run " + id + ' ' +
                              type + ' ' + text);
        m_self.m_runs.push_back(steady::now());
        if (type == "FETCH")
        {
            return complete(id, "ROW " + value_of(text) + "\r\n");
        }
        if (type == "STORE")
        {
            auto const item = take_word(text);
            m_writes[item] = text;
            if (m_open)
            {
                return complete(id);
            }
        }
        bool const commits = !m_writes.empty();
        if (commits)
        {
            lock.unlock();
            bool const acknowledged =
                m_owner.commit_write(m_self, id, m_writes);
            lock.lock();
            if (!acknowledged)
            {
                return std::nullopt;
            }
        }
        end_transaction();
        return complete(id);
    }

    group& m_owner;
    member& m_self;
    std::map<std::string, std::string> m_prepared; ///< kind by name
    std::map<std::string, std::string> m_writes;   ///< data by item
    bool m_open = false;
    bool m_reads_only = false;
    bool m_failed = false;
};

group::group(record& log, store& metadata, settings values)
    : m_record(log),
      m_store(metadata),
      m_settings(std::move(values))
{
    for (std::size_t i = 0; i < m_settings.m_members.size(); ++i)
    {
        auto added = std::make_unique<member>();
        added->m_id = m_settings.m_members[i];
        added->m_zone = m_settings.m_zones[i];
        added->m_primary = i == 0;
        added->m_server = std::make_unique<tcp_server>(
            [this, self = added.get()](tcp_stream& stream)
            { serve(*self, stream); });
        m_members.push_back(std::move(added));
    }
}

void group::start()
{
    for (auto const& each : m_members)
    {
        each->m_server->start();
    }
    for (auto const& each : m_members)
    {
        std::thread([this, self = each.get()] { keep_beating(*self); })
            .detach();
    }
    std::thread([this] { upkeep(); }).detach();
}

void group::configure(std::string const& database)
{
    nlohmann::json const route{
        {"name", "r-" + database},      {"host", database},
        {"routeType", "primary"},       {"timeoutMs", 800},
        {"targetLatencyMs", 120},       {"priority", 1},
        {"service", m_settings.m_name}, {"maxAttempts", 2}};
    nlohmann::json const service{
        {"name", m_settings.m_name},
        {"healthPath", "/health"},
        {"maxConnections", m_settings.m_max_connections},
        {"syncReplicas", m_settings.m_sync_replicas}};
    m_store.put("config", "main",
                {{"version", 7},
                 {"routes", nlohmann::json::array({route})},
                 {"services", nlohmann::json::array({service})},
                 {"limits", {{"txIdleMs", 3000}}}});
}

group::member& group::find(std::string const& id)
{
    auto const found = std::ranges::find_if(m_members, [&](auto const& each)
                                            { return each->m_id == id; });
    return **found;
}

std::string group::position(member const& self)
{
    auto const term = self.m_log.empty() ? 3 : self.m_log.back().m_term;
    return std::to_string(term) + '.' +
           std::to_string(first_number + self.m_log.size());
}

void group::serve(member& self, tcp_stream& stream)
{
    auto line = stream.read_line();
    if (!line || take_word(*line) != "CONNECT")
    {
        return;
    }
    auto const name = take_word(*line);
    take_word(*line);
    if (name != m_settings.m_name || (!line->empty() && *line != self.m_id))
    {
        stream.write("STMTERR MISROUTED " + self.m_id + "\r\n");
        stream.shut_down();
        return;
    }
    std::this_thread::sleep_for(handshake_time);
    {
        std::scoped_lock const lock(m_mutex);
        if (self.m_connections >= m_settings.m_max_connections)
        {
            stream.write("STMTERR OVERLOAD " + self.m_id + "\r\n");
            stream.shut_down();
            return;
        }
        ++self.m_connections;
        stream.write("IDLE I " + position(self) + "\r\n");
    }
    session connected(*this, self);
    while ((line = stream.read_line()))
    {
        if (take_word(*line) != "QUERY")
        {
            break;
        }
        auto const id = take_word(*line);
        auto const answer = connected.handle(id, *line);
        if (!answer || !stream.write(*answer))
        {
            break;
        }
    }
    stream.shut_down();
    std::scoped_lock const lock(m_mutex);
    --self.m_connections;
}

void group::beat(member& self)
{
    nlohmann::json const spec{
        {"service", m_settings.m_name},
        {"address", "127.0.0.1:" + std::to_string(self.m_server->port())},
        {"zone", self.m_zone},
        {"version", "v1"},
        {"slots", 2},
        {"state", self.m_leaving ? "draining" : "in_service"},
        {"coldRemainingMs", 0},
        {"dbRole", self.m_primary ? "primary" : "replica"},
        {"sequence", 1}};
    ++self.m_sequence;
    self.m_last_beat = steady::now();
    m_store.put("servers", self.m_id, spec);
    m_changed.notify_all();
}

void group::keep_beating(member& self)
{
    for (;;)
    {
        {
            std::scoped_lock const lock(m_mutex);
            if (self.m_up && !self.m_cut)
            {
                beat(self);
            }
        }
        std::this_thread::sleep_for(m_settings.m_heartbeat);
    }
}

void group::await_heartbeat(std::string const& id)
{
    std::unique_lock lock(m_mutex);
    auto const& self = find(id);
    auto const seen = self.m_sequence;
    m_changed.wait(lock, [&] { return self.m_sequence != seen; });
}

void group::upkeep()
{
    for (;;)
    {
        std::this_thread::sleep_for(upkeep_interval);
        std::scoped_lock const lock(m_mutex);
        for (auto const& each : m_members)
        {
            if (each->m_primary && each->m_up)
            {
                replicate(*each);
            }
            if (steady::now() - each->m_last_beat >=
                silent_heartbeats * m_settings.m_heartbeat)
            {
                m_store.remove("servers", each->m_id);
            }
        }
    }
}

void group::replicate(member const& primary)
{
    for (auto const& each : m_members)
    {
        if (each.get() != &primary && each->m_up && !each->m_deaf &&
            each->m_term <= primary.m_term)
        {
            each->m_term = primary.m_term;
            each->m_log = primary.m_log;
        }
    }
    m_changed.notify_all();
}

bool group::replicated(member const& primary, std::size_t size) const
{
    auto const holds = [&](auto const& each)
    {
        return each.get() != &primary && each->m_up &&
               each->m_log.size() >= size && primary.m_log.size() >= size &&
               each->m_log[size - 1] == primary.m_log[size - 1];
    };
    return static_cast<unsigned>(std::ranges::count_if(m_members, holds)) >=
           m_settings.m_sync_replicas;
}

bool group::commit_write(member& self, std::string const& statement,
                         std::map<std::string, std::string> const& changes)
{
    std::size_t size = 0;
    {
        std::scoped_lock const lock(m_mutex);
        self.m_log.push_back({self.m_term, statement, changes});
        size = self.m_log.size();
    }
    std::this_thread::sleep_for(network_delay);
    std::unique_lock lock(m_mutex);
    if (self.m_up && self.m_primary)
    {
        replicate(self);
    }
    m_changed.wait(lock, [&] { return !self.m_up || replicated(self, size); });
    return self.m_up;
}

void group::crash(std::string const& id)
{
    std::scoped_lock const lock(m_mutex);
    auto& self = find(id);
    self.m_up = false;
    self.m_server->stop();
    m_changed.notify_all();
    m_record.note("member " + id + ": crashed");
}

void group::restart(std::string const& id)
{
    std::scoped_lock const lock(m_mutex);
    auto& self = find(id);
    auto const newer = [&](auto const& each)
    {
        return each->m_term > self.m_term;
    };
    self.m_primary = self.m_primary && std::ranges::none_of(m_members, newer);
    self.m_up = true;
    self.m_server->start();
    beat(self);
    m_record.note("member " + id + ": restarted at " + position(self));
}

void group::begin_leaving(std::string const& id)
{
    std::scoped_lock const lock(m_mutex);
    auto& self = find(id);
    self.m_leaving = true;
    beat(self);
    m_record.note("member " + id + ": reports draining");
}

std::size_t group::runs_after(std::string const& id, steady::time_point after)
{
    std::scoped_lock const lock(m_mutex);
    return static_cast<std::size_t>(std::ranges::count_if(
        find(id).m_runs, [after](auto const& each) { return each > after; }));
}

void group::cut_from_store(std::string const& id, bool cut)
{
    std::scoped_lock const lock(m_mutex);
    find(id).m_cut = cut;
    m_record.note("member " + id +
                  (cut ? ": cut off from the store" : ": reaches the store"));
}

void group::set_deaf(std::string const& id, bool deaf)
{
    std::scoped_lock const lock(m_mutex);
    find(id).m_deaf = deaf;
    m_record.note("member " + id +
                  (deaf ? ": receives nothing" : ": receives commits again"));
}

bool group::promote(std::string const& id)
{
    {
        std::scoped_lock const lock(m_mutex);
        auto const& self = find(id);
        if (!self.m_up || self.m_primary)
        {
            return self.m_up;
        }
    }
    std::thread(
        [this, id]
        {
            std::this_thread::sleep_for(m_settings.m_promotion);
            std::scoped_lock const lock(m_mutex);
            auto& self = find(id);
            if (!self.m_up || self.m_primary)
            {
                return;
            }
            std::uint64_t term = 0;
            for (auto const& each : m_members)
            {
                term = std::max(term, each->m_term);
                each->m_primary = each->m_primary && !each->m_up;
            }
            self.m_term = term + 1;
            self.m_primary = true;
            m_promoted.push_back(id);
            m_record.note("member " + id + ": leads term " +
                          std::to_string(self.m_term) + " from " +
                          position(self));
            if (!self.m_cut)
            {
                beat(self);
            }
            m_changed.notify_all();
        })
        .detach();
    return true;
}

std::set<std::string> group::writes_of(std::string const& id)
{
    std::scoped_lock const lock(m_mutex);
    std::set<std::string> result;
    for (auto const& each : find(id).m_log)
    {
        result.insert(each.m_statement);
    }
    return result;
}

std::vector<std::string> group::promoted()
{
    std::scoped_lock const lock(m_mutex);
    return m_promoted;
}

promotion_api::promotion_api(record& log, std::vector<group*> groups)
    : m_record(log),
      m_groups(std::move(groups)),
      m_server(
          [this](tcp_stream& stream)
          {
              serve_http(stream, [this](http_request const& request)
                         { return reply(request); });
          })
{
}

http_response promotion_api::reply(http_request const& request)
{
    auto const body = nlohmann::json::parse(request.m_body, nullptr, false);
    auto const service = body.at("service").get<std::string>();
    auto const id = body.at("id").get<std::string>();
    for (auto* const each : m_groups)
    {
        if (each->values().m_name != service)
        {
            continue;
        }
        bool const accepted = each->promote(id);
        m_record.note("platform: promotion of " + id + " by " +
                      request.m_headers.at("duty-holder") + " with token " +
                      request.m_headers.at("fencing-token") +
                      (accepted ? ": 200" : ": 409"));
        return {accepted ? 200 : 409, "{}"};
    }
    return {409, "{}"};
}

} // namespace review
