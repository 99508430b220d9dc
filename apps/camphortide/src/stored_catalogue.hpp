#pragma once

#include "blocking_platform_client.hpp"

#include <cstdint>

#include <absl/status/statusor.h>

#include <camphortide/state/catalogue.hpp>
#include <camphortide/state/catalogue_head.hpp>

namespace camphortide::command_line
{

/// The catalogue as read from the store.
struct stored_catalogue
{
    state::catalogue_head m_head;
    state::catalogue m_catalogue; ///< version 0 if the store has none
};

/// Reads the catalogue from the store.
/// @param platform the store
/// @return the catalogue, DATA_LOSS if the stored one is damaged, or the error
///     of a failed call
absl::StatusOr<stored_catalogue>
read_catalogue(blocking_platform_client& platform);

} // namespace camphortide::command_line
