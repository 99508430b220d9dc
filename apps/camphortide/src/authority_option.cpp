#include "authority_option.hpp"

#include <fstream>

namespace camphortide::command_line
{

namespace options = boost::program_options;

namespace
{

void check_readable(std::string const& path)
{
    if (!std::ifstream(path).is_open())
    {
        throw options::error("the authority cannot be read: " + path);
    }
}

} // namespace

void add_authority_option(option_parser& parser)
{
    parser.add()(
        "authority", options::value<std::string>()->notifier(check_readable),
        "PEM file of the CA of the servers' certificates; enables TLS");
}

std::string authority_of(option_parser const& parser)
{
    return parser.has("authority") ? parser.get<std::string>("authority")
                                   : std::string();
}

} // namespace camphortide::command_line
