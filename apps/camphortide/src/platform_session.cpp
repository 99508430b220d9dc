#include "platform_session.hpp"

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

/// Runs a call and waits for its end.
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

platform_session::platform_session(option_parser const& options)
    : m_address(options.get<std::string>("platform")),
      m_client(m_address,
               state::duration(options.get<std::uint32_t>("timeout")),
               authority_of(options))
{
}

void platform_session::add_options(option_parser& options)
{
    namespace program_options = boost::program_options;
    options.add()(
        "platform,p",
        program_options::value<std::string>()->default_value(default_address),
        "IP:PORT of the platform")(
        "timeout",
        program_options::value<std::uint32_t>()->default_value(default_timeout),
        "longest wait for one answer, ms");
    add_authority_option(options);
}

absl::StatusOr<transport::platform_object>
platform_session::get(std::string const& name)
{
    return wait<transport::platform_object>([&](auto const& done)
                                            { m_client.get(name, done); });
}

absl::StatusOr<transport::platform_objects>
platform_session::list(std::string const& prefix)
{
    return wait<transport::platform_objects>([&](auto const& done)
                                             { m_client.list(prefix, done); });
}

absl::StatusOr<transport::platform_object>
platform_session::put(std::string const& name, std::uint64_t if_version,
                      std::string const& value)
{
    return wait<transport::platform_object>(
        [&](auto const& done) { m_client.put(name, if_version, value, done); });
}

absl::StatusOr<std::uint64_t> platform_session::erase(std::string const& name,
                                                      std::uint64_t if_version)
{
    return wait<std::uint64_t>([&](auto const& done)
                               { m_client.erase(name, if_version, done); });
}

absl::StatusOr<std::vector<transport::platform_instance>>
platform_session::list_instances()
{
    return wait<std::vector<transport::platform_instance>>(
        [&](auto const& done) { m_client.list_instances(done); });
}

exit_code platform_session::report(absl::Status const& status,
                                   console const& to) const
{
    to.m_error << "camphortide: the platform at " << m_address
               << " did not serve the call: " << std::string(status.message())
               << '\n';
    return exit_code::refused;
}

} // namespace camphortide::command_line
