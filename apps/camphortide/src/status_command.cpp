#include "admin_client.hpp"
#include "authority_option.hpp"
#include "commands.hpp"
#include "option_parser.hpp"
#include "status_text.hpp"

#include <google/protobuf/util/json_util.h>

namespace camphortide::command_line
{

namespace
{

constexpr char const* explanation =
    "Shows the state that an instance sees: instances, groups, members with\n"
    "terms, positions and lag, homes, connections and the catalogue in force.";

constexpr char const* default_address = "127.0.0.1:7402";
constexpr std::uint32_t default_timeout = 2000; ///< milliseconds

template <typename Reply>
exit_code print_reply(absl::StatusOr<Reply> const& reply, bool as_json,
                      std::string (*text)(Reply const&), console const& output)
{
    if (!reply.ok())
    {
        output.m_error << "camphortide: no answer from "
                       << std::string(reply.status().message()) << '\n';
        return exit_code::refused;
    }
    if (!as_json)
    {
        output.m_out << text(*reply);
        return exit_code::done;
    }
    google::protobuf::util::JsonPrintOptions options;
    options.add_whitespace = true;
    options.always_print_primitive_fields = true;
    options.preserve_proto_field_names = true;
    std::string document;
    auto const status =
        google::protobuf::util::MessageToJsonString(*reply, &document, options);
    output.m_out << document;
    return status.ok() ? exit_code::done : exit_code::refused;
}

std::string page_text(admin::v1::MetricsReply const& reply)
{
    return reply.text();
}

} // namespace

exit_code run_status(arguments const& args, console const& output)
{
    namespace options = boost::program_options;
    option_parser parser("status [options]", explanation);
    parser.add()("address,a",
                 options::value<std::string>()->default_value(default_address),
                 "IP:PORT of an instance's service for operators")(
        "timeout",
        options::value<std::uint32_t>()->default_value(default_timeout),
        "maximum time to wait for the reply, ms")("json", "print JSON")(
        "metrics", "print the histograms and counters instead")(
        "text", "print the metrics in the Prometheus format instead");
    add_authority_option(parser);
    if (auto const ended = parser.parse(args, output))
    {
        return *ended;
    }
    admin_server const server{parser.get<std::string>("address"),
                              authority_of(parser)};
    state::duration const timeout(parser.get<std::uint32_t>("timeout"));
    bool const as_json = parser.has("json");
    if (parser.has("text"))
    {
        return print_reply(fetch_metrics(server, timeout), false, page_text,
                           output);
    }
    if (parser.has("metrics"))
    {
        return print_reply(fetch_metrics(server, timeout), as_json,
                           metrics_text, output);
    }
    return print_reply(fetch_status(server, timeout), as_json, status_text,
                       output);
}

} // namespace camphortide::command_line
