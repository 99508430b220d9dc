#pragma once

#include <string>
#include <string_view>
#include <variant>

#include <grpcpp/grpcpp.h>

#include <camphortide/state/catalogue.hpp>
#include <camphortide/state/outcome.hpp>

namespace camphortide::transport
{

/// The entry that a caller may use, or the reason why it may not.
using authentication =
    std::variant<state::catalogue_entry const*, state::reason>;

/// Hashes a credential in the form that the catalogue stores.
/// @param secret the customer's secret
/// @return its SHA-256, 64 hex digits
std::string credential_hash(std::string_view secret);

/// Checks a caller's credential against the named entry.
/// @param context its metadata holds "authorization: Bearer SECRET"
/// @param entries the catalogue in force; outlives the result
/// @param entry the entry's name
/// @return the entry; bad_credential if the secret belongs to no customer,
///     unknown_entry if the entry does not exist, wrong_customer if it belongs
///     to another customer
authentication authenticate(grpc::CallbackServerContext const& context,
                            state::catalogue const& entries,
                            std::string_view entry);

} // namespace camphortide::transport
