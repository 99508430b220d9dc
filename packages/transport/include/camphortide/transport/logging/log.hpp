#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

#include <camphortide/transport/logging/log_field.hpp>
#include <camphortide/transport/settings/instance_settings.hpp>

namespace camphortide::transport
{

/// The parts of the program; each line begins with the name of its part.
enum class log_part
{
    main,
    settings,
    callers,
    admin,
    platform,
    catalogue,
    peers,
    membership,
    homes,
    group,
    limits,
    standin
};

/// @return the part's name as lines begin with it
std::string_view to_string(log_part part);

/// Starts glog. Called once, before the first line.
/// @param program the name of the program
/// @param directory the folder of the files; empty: the standard error
/// @param level the least severe messages that are kept
void start_logging(std::string const& program, std::string const& directory,
                   log_level level);

/// Starts glog with the standard output as its only place. Lines that a full
/// pipe can't take are dropped: logging never blocks.
/// @param program the name of the program
/// @param level the least severe messages that are kept
void start_logging_to_output(std::string const& program, log_level level);

/// Logs a decision on a request. More lines of one sentence are kept than of
/// the others, a bounded number in a second.
void log_decision(log_part part, std::string_view message,
                  std::initializer_list<log_field> fields);

/// Logs a line: the part, a short sentence, and key facts. Of one sentence at
/// most a few lines are kept in a while; the next one says how many were not.
/// @param part the part that speaks
/// @param sentence a fixed text; names the kind for the limit
/// @param facts what differs from line to line
void log_info(log_part part, std::string_view message,
              std::initializer_list<log_field> fields = {});

/// Logs a line about something that goes wrong and is handled.
void log_warning(log_part part, std::string_view message,
                 std::initializer_list<log_field> fields = {});

/// Logs a line about something that operators have to look at.
void log_error(log_part part, std::string_view message,
               std::initializer_list<log_field> fields = {});

/// Builds the text of a line.
/// @param held_back lines of the kind that were not kept before it
/// @return the text after glog's own prefix
std::string log_line(log_part part, std::string_view message,
                     std::initializer_list<log_field> fields,
                     std::uint64_t held_back);

} // namespace camphortide::transport
