#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <mutex>

#include <glog/logging.h>

#include <camphortide/transport/logging/log.hpp>
#include <camphortide/transport/logging/log_limiter.hpp>

namespace camphortide::transport
{

namespace
{

constexpr std::uint32_t most_lines = 5;
constexpr state::duration limit_interval{10000};
/// Lines about requests in a second, of one sentence: at some 250 bytes a line
/// 15 KB.
constexpr std::uint32_t most_decisions = 60;
constexpr state::duration decision_interval{1000};

/// The limiter of all threads.
class shared_limiter
{
public:
    shared_limiter(std::uint32_t most, state::duration interval)
        : m_limiter(most, interval)
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
           std::string_view sentence, std::initializer_list<log_fact> facts)
{
    static shared_limiter limiter(most_lines, limit_interval);
    auto const held_back = limiter.admit(sentence);
    if (!held_back)
    {
        return;
    }
    google::LogMessage(__FILE__, __LINE__, severity).stream()
        << log_line(part, sentence, facts, *held_back);
}

/// Severity and time; the place in the source says nothing here.
void write_prefix(std::ostream& stream, google::LogMessageInfo const& line,
                  void*)
{
    char const fill = stream.fill('0');
    stream << line.severity[0] << ' ' << line.time.year() + 1900 << '-';
    stream.width(2);
    stream << line.time.month() + 1 << '-';
    stream.width(2);
    stream << line.time.day() << ' ';
    stream.width(2);
    stream << line.time.hour() << ':';
    stream.width(2);
    stream << line.time.min() << ':';
    stream.width(2);
    stream << line.time.sec() << '.';
    stream.width(6);
    stream << line.time.usec();
    stream.fill(fill);
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
    name = program; // glog keeps the pointer
    FLAGS_logtostdout = true;
    FLAGS_minloglevel = static_cast<int>(level);
    auto const flags = ::fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0)
    {
        ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    }
    google::InitGoogleLogging(name.c_str(), write_prefix, nullptr);
}

void log_decision(log_part part, std::string_view sentence,
                  std::initializer_list<log_fact> facts)
{
    static shared_limiter limiter(most_decisions, decision_interval);
    auto const held_back = limiter.admit(sentence);
    if (held_back)
    {
        google::LogMessage(__FILE__, __LINE__, google::GLOG_INFO).stream()
            << log_line(part, sentence, facts, *held_back);
    }
}

std::string log_line(log_part part, std::string_view sentence,
                     std::initializer_list<log_fact> facts,
                     std::uint64_t held_back)
{
    std::string line(to_string(part));
    line += ": ";
    line += sentence;
    for (auto const& fact : facts)
    {
        line += ' ';
        line += fact.text();
    }
    if (held_back > 0)
    {
        line += " held_back=" + std::to_string(held_back);
    }
    return line;
}

void log_info(log_part part, std::string_view sentence,
              std::initializer_list<log_fact> facts)
{
    write(google::GLOG_INFO, part, sentence, facts);
}

void log_warning(log_part part, std::string_view sentence,
                 std::initializer_list<log_fact> facts)
{
    write(google::GLOG_WARNING, part, sentence, facts);
}

void log_error(log_part part, std::string_view sentence,
               std::initializer_list<log_fact> facts)
{
    write(google::GLOG_ERROR, part, sentence, facts);
}

} // namespace camphortide::transport
