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

/// A request as generated: one arrival of a traffic stream.
struct planned_request
{
    std::uint64_t m_number = 0; ///< unique in a run
    std::string m_traffic;
    std::string m_customer;
    std::string m_class_name;
    std::string m_entry; ///< name in the catalogue
    std::string m_group;
    std::string m_session;
    transport::traffic_kind m_kind = transport::traffic_kind::read;
    std::vector<std::string> m_statements;
    bool m_idempotent = false;
    /// The session chooses a new instance before it sends the request.
    bool m_changes_instance = false;
    bool m_rolls_back = false; ///< the caller rolls the transaction back
    std::optional<state::duration> m_max_age;
    state::duration m_deadline{0};
    run_time m_intended{0}; ///< intended time of arrival

    friend auto operator<=>(planned_request const&,
                            planned_request const&) = default;
};

/// One attempt at a request, and the answer that its caller received.
struct request_record
{
    planned_request m_request;
    std::uint32_t m_attempt = 1;
    std::string m_key; ///< the caller's request key; empty for a read
    run_time m_sent{0};
    run_time m_answered{0}; ///< when the outcome was known
    /// Outcome that the first answer reported.
    state::outcome m_first_outcome = state::outcome::unknown;
    state::outcome m_outcome = state::outcome::unknown; ///< final
    state::reason m_reason = state::reason::none;
    std::string m_result;
    std::vector<std::string> m_results; ///< of a transaction's statements
    bool m_from_replica = false;
    bool m_replayed = false;
    bool m_final = true; ///< the caller made no further attempt
    state::duration m_age{0};
    std::string m_member;
    std::string m_instance;
    /// Positions of the request's group in the token sent and in the token
    /// received.
    std::optional<state::log_position> m_token_sent;
    std::optional<state::log_position> m_token_received;
    /// Whether the token that was sent named the request's group; known even if
    /// tokens are not decoded.
    bool m_token_named_group = false;
    /// Whether the tokens were decoded, so that the positions above are valid.
    bool m_tokens_decoded = false;

    friend auto operator<=>(request_record const&,
                            request_record const&) = default;
};

/// @return true if the transaction was rolled back at its caller's request
bool is_rolled_back(request_record const& value);

/// All attempts of a run.
using history = std::vector<request_record>;

/// @return one line that describes an attempt and its outcome
std::string to_line(request_record const& value);

} // namespace camphortide::load
