#include <camphortide/transport/platform/platform_values.hpp>

namespace camphortide::transport
{

platform_failure failure_of(absl::Status const& status)
{
    switch (status.code())
    {
    case absl::StatusCode::kOk:
        return platform_failure::none;
    case absl::StatusCode::kFailedPrecondition:
    case absl::StatusCode::kAborted:
        return platform_failure::conflict;
    case absl::StatusCode::kNotFound:
        return platform_failure::not_found;
    case absl::StatusCode::kUnknown:
        return platform_failure::unknown_effect;
    case absl::StatusCode::kResourceExhausted:
        return platform_failure::rate_limited;
    case absl::StatusCode::kInvalidArgument:
    case absl::StatusCode::kOutOfRange:
    case absl::StatusCode::kPermissionDenied:
    case absl::StatusCode::kUnauthenticated:
    case absl::StatusCode::kUnimplemented:
        return platform_failure::refused;
    case absl::StatusCode::kCancelled:
        return platform_failure::cancelled;
    default:
        return platform_failure::unavailable;
    }
}

} // namespace camphortide::transport
