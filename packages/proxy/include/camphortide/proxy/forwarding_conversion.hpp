#pragma once

#include <memory>
#include <optional>
#include <string>

#include <camphortide/proxy/statement_request.hpp>
#include <camphortide/proxy/v1/forwarding.pb.h>

namespace camphortide::proxy
{

/// Turns a statement into its message.
/// @param number names it on the link
/// @param transaction that it belongs to at the home; 0: none
v1::Message encode_statement(statement_request const& request,
                             std::uint64_t number, std::uint64_t transaction,
                             state::time_point now);

/// Turns a message into a statement, without its number, its transaction and
/// its handler. Ages count from now on, so that times are later than they were
/// where the statement comes from: reads are fresher than they have to be.
/// @return null if the message can't be used
std::shared_ptr<statement_request>
decode_statement(v1::Statement const& message, state::time_point now);

/// Turns a result into its message.
/// @param transaction that goes on; 0: none
v1::Message encode_result(statement_result const& result, std::uint64_t number,
                          std::uint64_t transaction);

/// @return the message that a statement has not run
v1::Message encode_not_run(std::uint64_t number);

/// @return the result without its transaction; nothing if the message can't
///     be used
std::optional<statement_result> decode_result(v1::Reply const& message);

} // namespace camphortide::proxy
