#pragma once

#include <functional>
#include <memory>
#include <string>

#include <camphortide/proxy/http_client.hpp>

namespace camphortide::proxy
{

/// Sends requests to the platform's store.
class store_client
{
public:
    using handler = std::function<void(platform::store_outcome,
                                       std::optional<platform::http_response>)>;

    store_client(boost::asio::io_context& context, std::string const& address);

    /// Sends a request.
    /// @param wait how long the request allows the store to wait before it
    ///     responds; added to the timeout
    void send(platform::http_request const& request, handler done,
              state::duration wait = {});

    void set_address(std::string const& address)
    {
        m_http->set_address(address);
    }

    /// @return the number of requests sent so far, including failed ones
    std::uint64_t requests() const { return m_requests; }
    /// @return the number of requests that failed; a conflict is no failure
    std::uint64_t failures() const { return m_failures; }

private:
    std::shared_ptr<http_client> m_http;
    std::uint64_t m_requests = 0;
    std::uint64_t m_failures = 0;
};

} // namespace camphortide::proxy
