#pragma once

#include "store.hpp"

#include <set>

namespace review
{

/// One commit in a member's log.
struct commit
{
    std::uint64_t m_term = 0;
    std::string m_statement; ///< id of the write, or of the COMMIT
    std::map<std::string, std::string> m_changes; ///< data by item

    friend bool operator==(commit const&, commit const&) = default;
};

/// A service with its members: a primary and replicas. Each member has a server
/// of its own and registers itself in the store.
class group
{
public:
    struct settings
    {
        std::string m_name = "acervo";
        std::vector<std::string> m_members{"i-p", "i-a", "i-b"};
        std::vector<std::string> m_zones{"z1", "z2", "z3"};
        unsigned m_sync_replicas = 0;
        unsigned m_max_connections = 16;
        milliseconds m_heartbeat{1200};
        milliseconds m_promotion{300};
    };

    group(record& log, store& metadata, settings values);
    group(group const&) = delete;
    group& operator=(group const&) = delete;
    ~group() = default;

    /// The first member is the primary.
    void start();
    /// Writes the desired state: one route, whose reads go to the primary.
    void configure(std::string const& database);
    /// Ends a member's process.
    void crash(std::string const& id);
    /// Starts the process of a member that crashed. It has its log, and is a
    /// replica if another member was promoted.
    void restart(std::string const& id);
    /// A member reports that it is about to leave. It goes on serving.
    void begin_leaving(std::string const& id);
    /// Separates a member from the store; heartbeats are lost meanwhile.
    void cut_from_store(std::string const& id, bool cut);
    /// Keeps a replica from receiving commits.
    void set_deaf(std::string const& id, bool deaf);
    /// Waits until a member has just written its heartbeat.
    void await_heartbeat(std::string const& id);
    /// @return false if the member isn't running
    bool promote(std::string const& id);

    /// @return the writes in a member's log
    std::set<std::string> writes_of(std::string const& id);
    /// @return the ids of the members in the order of their promotions
    std::vector<std::string> promoted();
    /// @return how many statements of callers a member ran after a time
    std::size_t runs_after(std::string const& id, steady::time_point after);
    settings const& values() const { return m_settings; }

private:
    struct member
    {
        std::string m_id;
        std::string m_zone;
        std::unique_ptr<tcp_server> m_server;
        std::vector<commit> m_log;
        std::uint64_t m_term = 3;
        std::size_t m_sequence = 0;
        steady::time_point m_last_beat;
        std::size_t m_connections = 0;
        std::vector<steady::time_point> m_runs;
        bool m_primary = false;
        bool m_leaving = false;
        bool m_up = true;
        bool m_deaf = false;
        bool m_cut = false;
    };
    class session;

    void serve(member& self, tcp_stream& stream);
    void beat(member& self);
    void keep_beating(member& self);
    void upkeep();
    void replicate(member const& primary);
    bool replicated(member const& primary, std::size_t size) const;
    /// @return false if the primary ended before the commit was acknowledged
    bool commit_write(member& self, std::string const& statement,
                      std::map<std::string, std::string> const& changes);
    member& find(std::string const& id);
    static std::string position(member const& self);

    record& m_record;
    store& m_store;
    settings m_settings;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<std::unique_ptr<member>> m_members;
    std::vector<std::string> m_promoted;
};

/// The call that names the member that takes over.
class promotion_api
{
public:
    promotion_api(record& log, std::vector<group*> groups);

    unsigned short port() const { return m_server.port(); }
    void start() { m_server.start(); }

private:
    http_response reply(http_request const& request);

    record& m_record;
    std::vector<group*> m_groups;
    tcp_server m_server;
};

} // namespace review
