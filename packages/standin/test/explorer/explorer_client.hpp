#pragma once

#include "explorer_home.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <camphortide/coordination/request/accept_read.hpp>
#include <camphortide/coordination/request/write_tracker.hpp>

namespace camphortide::standin
{

/// Simulates callers that write with keys, query the outcome of keys and read
/// in sessions, through the homes of a group. Uses the same decision classes as
/// a running instance.
class explorer_client
{
public:
    using home_list = std::vector<std::unique_ptr<explorer_home>>;

    explorer_client(group_simulation& simulation, home_list& homes);

    void start_write();
    void start_read();
    /// Breaks the connection of a random request, or lets it time out.
    void interrupt_request();
    /// Breaks the connections of all requests.
    void break_connections();
    /// Queries a key with an unknown outcome at a random home.
    void query_outcome();
    /// Applies changes of a home's log view and processes its pending
    /// statements and held reads.
    void process_home(std::size_t home);
    /// Handles the loss of a home: the outcome of its requests is unknown.
    void home_lost(std::size_t home);
    /// @return true if the outcome of a request is not determined yet
    bool is_open() const;

    /// Probability, in percent, that start_write() starts a write.
    std::size_t m_write_percent = 100;
    /// Number of homes, the last ones, that get no writes.
    std::size_t m_read_only_homes = 0;

private:
    enum class stage
    {
        tracked, ///< in progress at a home
        unknown, ///< reported as unknown; may be queried
        ended
    };
    struct request
    {
        std::string m_key;
        std::size_t m_session = 0;
        std::size_t m_home = 0;
        stage m_stage = stage::tracked;
        std::uint64_t m_attempt = 0;
        state::term m_sent_term;
    };
    struct pending_statement
    {
        bool m_resolve = false;
        /// Sent only to the primary of a higher term than this one, in which it
        /// was refused.
        state::term m_refused_term;
    };
    struct held_read
    {
        std::size_t m_session = 0;
        statement_answer m_answer;
        std::uint64_t m_min_index = 0;
        coordination::read_requirement m_requirement;
    };
    struct home_state
    {
        coordination::write_tracker m_tracker;
        coordination::log_view m_view;
        std::map<std::uint64_t, pending_statement> m_pending;
        std::vector<held_read> m_reads;
    };

    void send_pending(std::size_t home);
    void send(std::uint64_t number, bool resolve,
              coordination::group_primary const& primary);
    void handle_answer(std::uint64_t number, std::uint64_t attempt,
                       statement_answer const& answer);
    void apply_step(std::uint64_t number, coordination::keyed_step const& step,
                    state::term refused_term);
    void finish_request(request& value,
                        coordination::request_result const& result);
    coordination::read_requirement make_requirement(std::size_t session);
    /// Releases or drops a read, or keeps it held.
    /// @return false if the read stays held
    bool evaluate_read(std::size_t home, held_read const& read);
    coordination::log_view view_for_writes(std::size_t home) const;
    coordination::log_view view_for_reads(std::size_t home) const;

    static constexpr std::size_t sessions = 3;

    group_simulation& m_simulation;
    home_list& m_homes;
    std::vector<request> m_requests;
    std::vector<home_state> m_home_states;
    std::vector<state::log_position> m_tokens;
};

} // namespace camphortide::standin
