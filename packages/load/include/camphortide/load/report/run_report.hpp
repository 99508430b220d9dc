#pragma once

#include <string>

#include <camphortide/load/demo/demo_run.hpp>

namespace camphortide::load
{

/// What was run, for the head of a report.
struct report_title
{
    std::string m_deployment;
    std::string m_command; ///< as it can be typed again
};

/// @return a report that people read: tables by owner and class, gaps, and
///     every break with its attempts
std::string to_text(report_title const& title, run_result const& result);

/// @return the figures as a JSON object
std::string to_json(report_title const& title, run_result const& result);

/// @return a page of plain HTML with its plots inside
std::string to_html(report_title const& title, run_result const& result);

/// @return true if every guarantee was guarantees_held and could be judged
bool guarantees_held(run_result const& result);

} // namespace camphortide::load
