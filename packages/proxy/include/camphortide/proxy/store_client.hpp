#pragma once

#include <functional>
#include <memory>
#include <string>

#include <camphortide/proxy/http_client.hpp>

namespace camphortide::proxy
{

/// Calls the platform's store.
class store_client
{
public:
    using handler = std::function<void(platform::store_outcome,
                                       std::optional<platform::http_response>)>;

    store_client(boost::asio::io_context& context, std::string const& address);

    /// Makes a call.
    /// @param wait that the store was asked to wait before it answers
    void call(platform::http_request const& request, handler done,
              state::duration wait = {});

    void set_address(std::string const& address)
    {
        m_http->set_address(address);
    }

    /// @return the calls made so far, with those that failed
    std::uint64_t calls() const { return m_calls; }
    std::uint64_t failures() const { return m_failures; }

private:
    std::shared_ptr<http_client> m_http;
    std::uint64_t m_calls = 0;
    std::uint64_t m_failures = 0;
};

} // namespace camphortide::proxy
