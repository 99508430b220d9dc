#include <algorithm>
#include <array>
#include <atomic>
#include <mutex>
#include <sstream>

#include <fcntl.h>
#include <glog/logging.h>
#include <unistd.h>

#include <camphortide/transport/logging/log.hpp>
#include <camphortide/transport/logging/log_limiter.hpp>

namespace camphortide::transport
{

namespace
{

constexpr std::uint32_t max_lines_per_interval = 5;
constexpr state::duration limit_interval{10000};
/// Lines per second of log_decision with the same message. At about 250 bytes
/// per line, this is 15 KB/s.
constexpr std::uint32_t max_decisions_per_interval = 60;
constexpr state::duration decision_interval{1000};

/// A log_limiter that all threads share.
class shared_limiter
{
public:
    shared_limiter(std::uint32_t max_lines, state::duration interval)
        : m_limiter(max_lines, interval)
    {
    }

    std::optional<std::uint64_t> admit(std::string_view kind)
    {
        std::scoped_lock const lock(m_mutex);
        return m_limiter.admit(kind, state::clock::now());
    }

private:
    std::mutex m_mutex;
    log_limiter m_limiter;
};

void write(google::LogSeverity severity, log_part part,
           std::string_view message, std::initializer_list<log_field> fields)
{
    static shared_limiter limiter(max_lines_per_interval, limit_interval);
    auto const held_back = limiter.admit(message);
    if (!held_back)
    {
        return;
    }
    google::LogMessage(__FILE__, __LINE__, severity).stream()
        << log_line(part, message, fields, *held_back);
}

void write_time(std::ostream& stream, google::LogMessageTime const& time)
{
    char const fill = stream.fill('0');
    stream << time.year() + 1900 << '-';
    stream.width(2);
    stream << time.month() + 1 << '-';
    stream.width(2);
    stream << time.day() << ' ';
    stream.width(2);
    stream << time.hour() << ':';
    stream.width(2);
    stream << time.min() << ':';
    stream.width(2);
    stream << time.sec() << '.';
    stream.width(6);
    stream << time.usec();
    stream.fill(fill);
}

/// Writes lines to stdout, each completely or not at all: a write of up to
/// PIPE_BUF bytes to a pipe is atomic.
class output_sink final : public google::LogSink
{
public:
    output_sink()
    {
        auto const flags = ::fcntl(STDOUT_FILENO, F_GETFL);
        if (flags >= 0)
        {
            ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
        }
    }

    void send(google::LogSeverity severity, char const*, char const*, int,
              google::LogMessageTime const& time, char const* message,
              std::size_t length) override
    {
        std::ostringstream line;
        line << google::GetLogSeverityName(severity)[0] << ' ';
        write_time(line, time);
        auto text = line.str();
        text.append(" ").append(message, std::min(length, max_message_bytes));
        text += '\n';
        // A line that does not fit into the pipe is dropped and counted.
        auto const written = ::write(STDOUT_FILENO, text.data(), text.size());
        m_dropped += written < 0 ? 1 : 0;
    }

private:
    static constexpr std::size_t max_message_bytes = 1800;

    std::atomic<std::uint64_t> m_dropped{0};
};

/// Writes the severity and the time. The source location is left out, since all
/// lines are logged from this file.
void write_prefix(std::ostream& stream, google::LogMessageInfo const& line,
                  void*)
{
    stream << line.severity[0] << ' ';
    write_time(stream, line.time);
}

} // namespace

std::string_view to_string(log_part part)
{
    static constexpr std::array<std::string_view, 12> names{
        "main",  "settings",   "callers", "admin", "platform", "catalogue",
        "peers", "membership", "homes",   "group", "limits",   "standin"};
    return names.at(static_cast<std::size_t>(part));
}

void start_logging(std::string const& program, std::string const& directory,
                   log_level level)
{
    static std::string name;
    name = program; // glog keeps the pointer
    FLAGS_logtostderr = directory.empty();
    FLAGS_log_dir = directory;
    FLAGS_minloglevel = static_cast<int>(level);
    FLAGS_stop_logging_if_full_disk = true;
    google::InitGoogleLogging(name.c_str(), write_prefix, nullptr);
}

void start_logging_to_output(std::string const& program, log_level level)
{
    static std::string name;
    static output_sink sink;
    name = program; // glog keeps the pointer
    FLAGS_minloglevel = static_cast<int>(level);
    FLAGS_stderrthreshold = google::GLOG_FATAL;
    for (auto severity = 0; severity < google::NUM_SEVERITIES; ++severity)
    {
        google::SetLogDestination(severity, ""); // no files
    }
    google::InitGoogleLogging(name.c_str(), write_prefix, nullptr);
    google::AddLogSink(&sink);
}

void log_decision(log_part part, std::string_view message,
                  std::initializer_list<log_field> fields)
{
    static shared_limiter limiter(max_decisions_per_interval,
                                  decision_interval);
    auto const held_back = limiter.admit(message);
    if (held_back)
    {
        google::LogMessage(__FILE__, __LINE__, google::GLOG_INFO).stream()
            << log_line(part, message, fields, *held_back);
    }
}

std::string log_line(log_part part, std::string_view message,
                     std::initializer_list<log_field> fields,
                     std::uint64_t held_back)
{
    std::string line(to_string(part));
    line += ": ";
    line += message;
    for (auto const& field : fields)
    {
        line += ' ';
        line += field.text();
    }
    if (held_back > 0)
    {
        line += " held_back=" + std::to_string(held_back);
    }
    return line;
}

void log_info(log_part part, std::string_view message,
              std::initializer_list<log_field> fields)
{
    write(google::GLOG_INFO, part, message, fields);
}

void log_warning(log_part part, std::string_view message,
                 std::initializer_list<log_field> fields)
{
    write(google::GLOG_WARNING, part, message, fields);
}

void log_error(log_part part, std::string_view message,
               std::initializer_list<log_field> fields)
{
    write(google::GLOG_ERROR, part, message, fields);
}

} // namespace camphortide::transport
