#include <camphortide/proxy/store_client.hpp>

namespace camphortide::proxy
{

namespace
{

/// Timeout beyond the wait of the request: twice the response time of a slow
/// store (60 times the usual 4 ms), and one lost packet.
constexpr state::duration response_timeout{800};

} // namespace

store_client::store_client(boost::asio::io_context& context,
                           std::string const& address)
    : m_http(std::make_shared<http_client>(context, address))
{
}

void store_client::send(platform::http_request const& request, handler done,
                        state::duration wait)
{
    ++m_requests;
    m_http->send(request, response_timeout + wait,
                 [this, done = std::move(done)](request_result result)
                 {
                     auto outcome = platform::outcome_of(result.m_response);
                     if (result.m_failure == request_failure::not_connected ||
                         result.m_failure == request_failure::cancelled)
                     {
                         outcome = platform::store_outcome::not_available;
                     }
                     if (outcome != platform::store_outcome::done &&
                         outcome != platform::store_outcome::conflict)
                     {
                         ++m_failures;
                     }
                     done(outcome, std::move(result.m_response));
                 });
}

} // namespace camphortide::proxy
