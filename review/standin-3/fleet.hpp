#pragma once

#include "store.hpp"

#include <sys/types.h>

namespace review
{

/// The instances of the system: one process each.
class fleet
{
public:
    struct settings
    {
        std::string m_program;
        std::string m_folder; ///< for settings files and logs
        std::vector<std::string> m_zones{"z1", "z2", "z3"};
        unsigned short m_store_port = 0;
        unsigned short m_promotion_port = 0;
        int m_grace_s = 6;
    };

    struct instance
    {
        std::string m_name;
        std::string m_settings_path;
        std::string m_log_path;
        unsigned short m_callers_port = 0;
        unsigned short m_readiness_port = 0;
        unsigned short m_peers_port = 0;
        pid_t m_process = 0;
    };

    fleet(record& log, settings values);
    fleet(fleet const&) = delete;
    fleet& operator=(fleet const&) = delete;
    /// Ends the processes.
    ~fleet();

    void start(std::size_t index);
    void send_signal(std::size_t index, int signal);
    /// @return false if an instance doesn't become ready in time
    bool await_ready(milliseconds timeout);

    std::vector<instance> const& instances() const { return m_instances; }

private:
    void write_settings(instance const& each, std::string const& zone) const;

    record& m_record;
    settings m_settings;
    std::vector<instance> m_instances;
};

/// A caller's session with an instance.
class caller
{
public:
    struct answer
    {
        bool m_complete = false;
        std::string m_text; ///< after COMPLETE or STMTERR
        std::string m_state;
        std::vector<std::string> m_rows;
    };

    caller(record& log, std::string name)
        : m_record(log),
          m_name(std::move(name))
    {
    }

    bool connect(unsigned short port, std::string const& database);
    /// @return nothing if the connection ended before the answer did
    std::optional<answer> query(std::string const& id, std::string const& text);
    void close() { m_stream.reset(); }
    bool connected() const { return m_stream != nullptr; }

private:
    record& m_record;
    std::string m_name;
    std::shared_ptr<tcp_stream> m_stream;
};

} // namespace review
