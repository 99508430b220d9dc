#pragma once

#include <string>
#include <string_view>
#include <variant>

#include <grpcpp/grpcpp.h>

#include <camphortide/state/catalogue.hpp>
#include <camphortide/state/outcome.hpp>

namespace camphortide::transport
{

/// The entry that a caller may use, or why it may not.
using authentication =
    std::variant<state::catalogue_entry const*, state::reason>;

/// Hashes a credential as the catalogue keeps it.
/// @param secret the owner's secret
/// @return its SHA-256, 64 hex digits
std::string credential_hash(std::string_view secret);

/// Checks a caller's credential against the entry that it names.
/// @param context whose metadata holds "authorization: Bearer SECRET"
/// @param entries the catalogue in force; outlives the result
/// @param entry the entry's name
/// @return the entry; bad_credential for a secret of no owner, unknown_entry
///     for an entry that is not there, wrong_owner for one of another owner
authentication authenticate(grpc::CallbackServerContext const& context,
                            state::catalogue const& entries,
                            std::string_view entry);

} // namespace camphortide::transport
