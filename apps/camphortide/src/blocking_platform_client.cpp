#include "blocking_platform_client.hpp"

#include "authority_option.hpp"

#include <future>
#include <memory>
#include <utility>

namespace camphortide::command_line
{

namespace
{

constexpr char const* default_address = "127.0.0.1:7300";
constexpr std::uint32_t default_timeout = 2000; ///< milliseconds

/// Starts an asynchronous call and blocks until its result.
template <typename Value, typename Call>
absl::StatusOr<Value> wait(Call const& call)
{
    auto const promise =
        std::make_shared<std::promise<absl::StatusOr<Value>>>();
    call([promise](absl::StatusOr<Value> result)
         { promise->set_value(std::move(result)); });
    return promise->get_future().get();
}

} // namespace

blocking_platform_client::blocking_platform_client(option_parser const& parser)
    : m_address(parser.get<std::string>("platform")),
      m_client(m_address, state::duration(parser.get<std::uint32_t>("timeout")),
               authority_of(parser))
{
}

void blocking_platform_client::add_options(option_parser& parser)
{
    namespace program_options = boost::program_options;
    parser.add()(
        "platform,p",
        program_options::value<std::string>()->default_value(default_address),
        "IP:PORT of the platform")(
        "timeout",
        program_options::value<std::uint32_t>()->default_value(default_timeout),
        "maximum time to wait for one reply, ms");
    add_authority_option(parser);
}

absl::StatusOr<transport::platform_object>
blocking_platform_client::get(std::string const& name)
{
    return wait<transport::platform_object>([&](auto const& done)
                                            { m_client.get(name, done); });
}

absl::StatusOr<transport::platform_objects>
blocking_platform_client::list(std::string const& prefix)
{
    return wait<transport::platform_objects>([&](auto const& done)
                                             { m_client.list(prefix, done); });
}

absl::StatusOr<transport::platform_object>
blocking_platform_client::put(std::string const& name, std::uint64_t if_version,
                              std::string const& value)
{
    return wait<transport::platform_object>(
        [&](auto const& done) { m_client.put(name, if_version, value, done); });
}

absl::StatusOr<std::uint64_t>
blocking_platform_client::erase(std::string const& name,
                                std::uint64_t if_version)
{
    return wait<std::uint64_t>([&](auto const& done)
                               { m_client.erase(name, if_version, done); });
}

absl::StatusOr<std::vector<transport::platform_instance>>
blocking_platform_client::list_instances()
{
    return wait<std::vector<transport::platform_instance>>(
        [&](auto const& done) { m_client.list_instances(done); });
}

exit_code blocking_platform_client::report(absl::Status const& status,
                                           console const& output) const
{
    output.m_error << "camphortide: the platform at " << m_address
                   << " did not serve the call: "
                   << std::string(status.message()) << '\n';
    return exit_code::refused;
}

} // namespace camphortide::command_line
