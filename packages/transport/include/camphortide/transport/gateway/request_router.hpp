#pragma once

#include <camphortide/transport/gateway/group_request.hpp>

namespace camphortide::transport
{

/// Routes requests to a home of their group.
class request_router
{
public:
    virtual ~request_router() = default;

    /// Runs a request.
    /// @param request a checked request; its deadline is on this process's
    ///     clock
    /// @param done called once, on any thread
    virtual void submit(group_request request, reply_handler done) = 0;
};

} // namespace camphortide::transport
