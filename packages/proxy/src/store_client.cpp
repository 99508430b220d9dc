#include <camphortide/proxy/store_client.hpp>

namespace camphortide::proxy
{

namespace
{

/// Time for an answer beyond the wait that was asked for: twice what a slow
/// store takes (60 times its 4 ms), and one lost packet.
constexpr state::duration answer_limit{800};

} // namespace

store_client::store_client(boost::asio::io_context& context,
                           std::string const& address)
    : m_http(std::make_shared<http_client>(context, address))
{
}

void store_client::call(platform::http_request const& request, handler done,
                        state::duration wait)
{
    ++m_calls;
    m_http->call(request, answer_limit + wait,
                 [this, done = std::move(done)](call_result result)
                 {
                     auto outcome = platform::outcome_of(result.m_answer);
                     if (result.m_failure == call_failure::refused ||
                         result.m_failure == call_failure::withheld)
                     {
                         outcome = platform::store_outcome::not_available;
                     }
                     if (outcome != platform::store_outcome::done &&
                         outcome != platform::store_outcome::conflict)
                     {
                         ++m_failures;
                     }
                     done(outcome, std::move(result.m_answer));
                 });
}

} // namespace camphortide::proxy
