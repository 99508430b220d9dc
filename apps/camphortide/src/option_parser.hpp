#pragma once

#include "command.hpp"

#include <optional>
#include <string>

#include <boost/program_options.hpp>

namespace camphortide::command_line
{

/// Parses the options of one command and prints its help.
class option_parser
{
public:
    /// @param usage the line after "Usage: camphortide "
    /// @param explanation description of the command
    option_parser(std::string usage, std::string explanation);

    /// @return the object that adds options, as in Boost.Program_options
    boost::program_options::options_description_easy_init add();

    /// Assigns positional arguments to an option.
    /// @param max_count maximum number of arguments; -1: unlimited
    void positional(char const* option, int max_count);

    /// Parses the arguments.
    /// @return the exit code if the command ends here, because help was
    ///     requested or the arguments are invalid; else nullopt
    std::optional<exit_code> parse(arguments const& args,
                                   console const& output);

    /// @return whether an option was given
    bool has(std::string const& option) const;

    /// @return the value of an option that was given or has a default
    template <typename Value>
    Value get(std::string const& option) const
    {
        return m_values[option].as<Value>();
    }

private:
    std::string m_usage;
    std::string m_explanation;
    boost::program_options::options_description m_options{"Options"};
    boost::program_options::options_description m_hidden;
    boost::program_options::positional_options_description m_positional;
    boost::program_options::variables_map m_values;
};

} // namespace camphortide::command_line
