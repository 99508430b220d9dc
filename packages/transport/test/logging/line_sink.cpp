#include "line_sink.hpp"

#include <glog/logging.h>

class line_sink::glog_sink : public google::LogSink
{
public:
    void send(google::LogSeverity, char const*, char const*, int,
              google::LogMessageTime const&, char const* text,
              std::size_t size) override
    {
        m_lines.emplace_back(text, size);
    }

    std::vector<std::string> m_lines;
};

line_sink::line_sink() : m_sink(std::make_unique<glog_sink>())
{
    google::AddLogSink(m_sink.get());
}

line_sink::~line_sink()
{
    google::RemoveLogSink(m_sink.get());
}

std::vector<std::string> const& line_sink::lines() const
{
    return m_sink->m_lines;
}
