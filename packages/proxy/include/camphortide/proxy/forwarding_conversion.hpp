#pragma once

#include <memory>
#include <optional>
#include <string>

#include <camphortide/proxy/statement_request.hpp>
#include <camphortide/proxy/v1/forwarding.pb.h>

namespace camphortide::proxy
{

/// Encodes a statement for a home.
/// @param request the statement
/// @param number identifies it on the link
/// @param transaction number of its transaction at the home; 0: none
/// @param now the current time; times are sent as ages and time left
v1::Message encode_statement(statement_request const& request,
                             std::uint64_t number, std::uint64_t transaction,
                             state::time_point now);

/// Decodes a statement, without its number, transaction and handler. The ages
/// in the message are subtracted from the local time of receipt, so decoded
/// times are later than at the sender by the transmission time: reads become
/// fresher than required, never staler.
/// @return null if the message is invalid
std::shared_ptr<statement_request>
decode_statement(v1::Statement const& message, state::time_point now);

/// Encodes the result of a statement.
/// @param result the result
/// @param number of the statement on the link
/// @param transaction number of the transaction that stays open; 0: none
v1::Message encode_result(statement_result const& result, std::uint64_t number,
                          std::uint64_t transaction);

/// Encodes the reply that a statement was not run.
/// @param number of the statement on the link
v1::Message encode_not_run(std::uint64_t number);

/// Decodes the result of a statement, without its transaction.
/// @return nothing if the message is invalid
std::optional<statement_result> decode_result(v1::Reply const& message);

} // namespace camphortide::proxy
