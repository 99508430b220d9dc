#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <camphortide/state/clock.hpp>
#include <camphortide/state/log_position.hpp>
#include <camphortide/state/outcome.hpp>
#include <camphortide/transport/settings/deployment.hpp>

namespace camphortide::load
{

/// Time since the start of a run.
using run_time = std::chrono::microseconds;

/// What a caller meant to do: one arrival of a stream of traffic.
struct planned_request
{
    std::uint64_t m_number = 0; ///< unique in a run
    std::string m_traffic;
    std::string m_owner;
    std::string m_class_name;
    std::string m_entry; ///< name in the catalogue
    std::string m_group;
    std::string m_session;
    transport::traffic_kind m_kind = transport::traffic_kind::read;
    std::vector<std::string> m_statements;
    bool m_idempotent = false;
    bool m_changes_instance = false; ///< the session changes the instance first
    bool m_rolls_back = false;       ///< a transaction that its caller gives up
    std::optional<state::duration> m_max_age;
    state::duration m_deadline{0};
    run_time m_intended{0};

    friend auto operator<=>(planned_request const&,
                            planned_request const&) = default;
};

/// One attempt at a request, and what its caller was told.
struct request_record
{
    planned_request m_request;
    std::uint32_t m_attempt = 1;
    std::string m_key; ///< the caller's request key; empty for a read
    run_time m_sent{0};
    run_time m_answered{0}; ///< when the outcome was known
    state::outcome m_first_outcome =
        state::outcome::unknown;                        ///< by the first answer
    state::outcome m_outcome = state::outcome::unknown; ///< in the end
    state::reason m_reason = state::reason::none;
    std::string m_result;
    std::vector<std::string> m_results; ///< of a transaction's statements
    bool m_from_replica = false;
    bool m_replayed = false;
    bool m_final = true; ///< the caller made no further attempt
    state::duration m_age{0};
    std::string m_member;
    std::string m_instance;
    /// Of the request's group, in the token that was sent and received.
    std::optional<state::log_position> m_token_sent;
    std::optional<state::log_position> m_token_received;
    /// Whether the token that was sent named the request's group; known of
    /// tokens that can't be decoded too.
    bool m_token_named_group = false;
    /// Whether the positions above were decoded.
    bool m_tokens_decoded = false;

    friend auto operator<=>(request_record const&,
                            request_record const&) = default;
};

/// @return true if the caller's own wish rolled the transaction back
bool is_rolled_back(request_record const& value);

/// All attempts of a run.
using history = std::vector<request_record>;

/// @return one line that names an attempt and its outcome
std::string to_line(request_record const& value);

} // namespace camphortide::load
