#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

#include <camphortide/transport/logging/log_field.hpp>
#include <camphortide/transport/settings/instance_settings.hpp>

namespace camphortide::transport
{

/// The components of the program. Each log line starts with the name of the
/// component that wrote it.
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

/// @return the name that starts a log line
std::string_view to_string(log_part part);

/// Initializes glog. Must be called once, before the first line is logged.
/// @param program the name of the program
/// @param directory folder of the log files; empty: log to stderr
/// @param level least severe level that is logged
void start_logging(std::string const& program, std::string const& directory,
                   log_level level);

/// Initializes glog with stdout as its only destination. Lines are dropped when
/// the pipe is full, so that logging never blocks.
/// @param program the name of the program
/// @param level least severe level that is logged
void start_logging_to_output(std::string const& program, log_level level);

/// Logs a decision on a request at level info. The rate limit per message is
/// higher than that of log_info.
void log_decision(log_part part, std::string_view message,
                  std::initializer_list<log_field> fields);

/// Logs a line with the component, a short message and key=value fields. Lines
/// are rate-limited per message: excess lines are held back, and the next line
/// that is written states how many.
/// @param part the component that logs the line
/// @param message a fixed text; also the key of the rate limit
/// @param fields the values that vary from line to line
void log_info(log_part part, std::string_view message,
              std::initializer_list<log_field> fields = {});

/// Logs a problem that the program handles by itself.
void log_warning(log_part part, std::string_view message,
                 std::initializer_list<log_field> fields = {});

/// Logs a problem that needs an operator's attention.
void log_error(log_part part, std::string_view message,
               std::initializer_list<log_field> fields = {});

/// Formats a log line.
/// @param held_back number of lines with the same message that were held back
///     before this one
/// @return the line without the prefix that glog writes
std::string log_line(log_part part, std::string_view message,
                     std::initializer_list<log_field> fields,
                     std::uint64_t held_back);

} // namespace camphortide::transport
