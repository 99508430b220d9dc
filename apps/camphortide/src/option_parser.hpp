#pragma once

#include "command.hpp"

#include <optional>
#include <string>

#include <boost/program_options.hpp>

namespace camphortide::command_line
{

/// The options of one command and its help.
class option_parser
{
public:
    /// @param usage the line after "Usage: camphortide "
    /// @param explanation what the command does
    option_parser(std::string usage, std::string explanation);

    /// @return adds options, in the manner of Boost.Program_options
    boost::program_options::options_description_easy_init add();

    /// Takes the words without a dash as values of an option.
    /// @param most how many; -1 for any number
    void positional(char const* option, int max_count);

    /// Reads the words.
    /// @return the result of the command if it ends here: help was asked for,
    ///     or the words are wrong
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
