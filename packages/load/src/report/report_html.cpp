#include <algorithm>
#include <sstream>
#include <string_view>

#include <camphortide/load/report/run_report.hpp>

namespace camphortide::load
{

namespace
{

constexpr double plot_width = 640;
constexpr double plot_height = 160;
constexpr double row_height = 22;
constexpr double label_width = 220;

std::string escaped(std::string_view text)
{
    std::string result;
    for (char const each : text)
    {
        switch (each)
        {
        case '<':
            result += "&lt;";
            break;
        case '>':
            result += "&gt;";
            break;
        case '&':
            result += "&amp;";
            break;
        default:
            result += each;
        }
    }
    return result;
}

/// Appends a bar chart of the acknowledged writes in each second.
void append_writes(std::ostringstream& out,
                   std::vector<std::uint64_t> const& counts)
{
    if (counts.empty())
    {
        return;
    }
    auto const max_count =
        std::max<std::uint64_t>(1, *std::ranges::max_element(counts));
    double const step = plot_width / static_cast<double>(counts.size());
    out << "<h2>Acknowledged writes in each second (at most " << max_count
        << ")</h2>\n<svg width=\"" << plot_width << "\" height=\""
        << plot_height << "\" role=\"img\">\n";
    for (std::size_t second = 0; second < counts.size(); ++second)
    {
        double const height = plot_height *
                              static_cast<double>(counts[second]) /
                              static_cast<double>(max_count);
        out << "<rect x=\"" << step * static_cast<double>(second) << "\" y=\""
            << plot_height - height << "\" width=\"" << step * 0.9
            << "\" height=\"" << height << "\" fill=\"#357\"><title>second "
            << second << ": " << counts[second] << "</title></rect>\n";
    }
    out << "</svg>\n";
}

/// Appends a bar chart of the p50 and p99 latency of each class.
void append_latencies(std::ostringstream& out, run_summary const& summary)
{
    double max_count = 1;
    for (auto const& one : summary.m_classes)
    {
        max_count = std::max(max_count, one.m_latency.m_p99);
    }
    out << "<h2>Latency by class: p50 dark, p99 light (at most " << max_count
        << " ms)</h2>\n<svg width=\"" << plot_width + label_width
        << "\" height=\""
        << row_height * static_cast<double>(summary.m_classes.size())
        << "\" role=\"img\">\n";
    double top = 0;
    for (auto const& one : summary.m_classes)
    {
        out << "<text x=\"0\" y=\"" << top + row_height * 0.7
            << "\" font-size=\"12\">" << escaped(one.m_customer) << '/'
            << escaped(one.m_class_name) << "</text>\n";
        for (auto const& [value, colour] :
             {std::pair{one.m_latency.m_p99, "#9bd"},
              std::pair{one.m_latency.m_p50, "#357"}})
        {
            out << "<rect x=\"" << label_width << "\" y=\"" << top + 2
                << "\" width=\"" << plot_width * value / max_count
                << "\" height=\"" << row_height - 4 << "\" fill=\"" << colour
                << "\"><title>" << value << " ms</title></rect>\n";
        }
        top += row_height;
    }
    out << "</svg>\n";
}

void append_gaps(std::ostringstream& out, std::vector<double> const& gaps)
{
    if (gaps.empty())
    {
        return;
    }
    double const max_count = std::max(1.0, *std::ranges::max_element(gaps));
    out << "<h2>Failover gaps</h2>\n<svg width=\"" << plot_width + label_width
        << "\" height=\"" << row_height * static_cast<double>(gaps.size())
        << "\" role=\"img\">\n";
    double top = 0;
    for (double const gap : gaps)
    {
        out << "<text x=\"0\" y=\"" << top + row_height * 0.7
            << "\" font-size=\"12\">" << gap << " ms</text><rect x=\""
            << label_width << "\" y=\"" << top + 2 << "\" width=\""
            << plot_width * gap / max_count << "\" height=\"" << row_height - 4
            << "\" fill=\"#a53\"/>\n";
        top += row_height;
    }
    out << "</svg>\n";
}

} // namespace

std::string to_html(report_title const& title, run_result const& result)
{
    std::ostringstream out;
    out << "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">"
        << "<title>" << escaped(title.m_deployment)
        << "</title></head>\n<body style=\"font-family:sans-serif\">\n<h1>"
        << escaped(title.m_deployment) << "</h1>\n<p><code>"
        << escaped(title.m_command) << "</code></p>\n";
    append_writes(out, result.m_summary.m_writes_by_second);
    append_latencies(out, result.m_summary);
    append_gaps(out, result.m_summary.m_failover_gaps);
    out << "<h2>Figures</h2>\n<pre>" << escaped(to_text(title, result))
        << "</pre>\n</body></html>\n";
    return out.str();
}

} // namespace camphortide::load
