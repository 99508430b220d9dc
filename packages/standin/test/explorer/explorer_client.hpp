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

/// Callers that write with keys, ask what became of a key, and read in
/// sessions, through the homes of a group. The homes decide by the same
/// classes as a running instance.
class explorer_client
{
public:
    using home_list = std::vector<std::unique_ptr<explorer_home>>;

    explorer_client(group_simulation& simulation, home_list& homes);

    void start_write();
    void start_read();
    /// Breaks the connection of a random request, or ends its caller's wait.
    void interrupt_request();
    /// Breaks the connections of all requests.
    void break_connections();
    /// Asks at a random home what became of a key whose outcome is unknown.
    void query_outcome();
    /// Lets a home go on with its requests and reads.
    void process_home(std::size_t home);
    /// A home was lost; the outcome of its requests is unknown.
    void home_lost(std::size_t home);
    /// @return true if a request has no definite answer
    bool is_open() const;

    std::size_t m_write_percent = 100; ///< of the writes that may start
    std::size_t m_read_only_homes = 0; ///< the last homes, which get no write

private:
    enum class stage
    {
        tracked, ///< at a home
        unknown, ///< its caller was told so
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
        state::term m_refused_term; ///< the term that refused it
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
    /// @return true unless the read has to wait
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
