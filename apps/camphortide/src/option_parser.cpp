#include "option_parser.hpp"

#include <utility>

namespace camphortide::command_line
{

namespace options = boost::program_options;

option_parser::option_parser(std::string usage, std::string explanation)
    : m_usage(std::move(usage)),
      m_explanation(std::move(explanation))
{
    m_options.add_options()("help,h", "print this help");
}

options::options_description_easy_init option_parser::add()
{
    return m_options.add_options();
}

void option_parser::positional(char const* option, int max_count)
{
    m_hidden.add_options()(option, options::value<std::vector<std::string>>());
    m_positional.add(option, max_count);
}

std::optional<exit_code> option_parser::parse(arguments const& args,
                                              console const& output)
{
    options::options_description all;
    all.add(m_options).add(m_hidden);
    try
    {
        options::store(options::command_line_parser(args)
                           .options(all)
                           .positional(m_positional)
                           .run(),
                       m_values);
        if (m_values.count("help") > 0)
        {
            output.m_out << "Usage: camphortide " << m_usage << "\n\n"
                         << m_explanation << "\n\n"
                         << m_options;
            return exit_code::done;
        }
        options::notify(m_values);
    }
    catch (options::error const& error)
    {
        output.m_error << "camphortide: " << error.what()
                       << "\nUsage: camphortide " << m_usage << '\n';
        return exit_code::usage;
    }
    return std::nullopt;
}

bool option_parser::has(std::string const& option) const
{
    return m_values.count(option) > 0;
}

} // namespace camphortide::command_line
