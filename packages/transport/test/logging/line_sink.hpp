#pragma once

#include <memory>
#include <string>
#include <vector>

/// Collects the lines that are logged through glog during its lifetime. It is
/// in a separate source file, since glog and doctest both define CHECK.
class line_sink
{
public:
    line_sink();
    ~line_sink();
    line_sink(line_sink const&) = delete;
    line_sink& operator=(line_sink const&) = delete;

    /// @return the lines, oldest first
    std::vector<std::string> const& lines() const;

private:
    class glog_sink;
    std::unique_ptr<glog_sink> m_sink;
};
