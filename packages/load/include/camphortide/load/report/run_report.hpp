#pragma once

#include <string>

#include <camphortide/load/demo/demo_run.hpp>

namespace camphortide::load
{

/// Title of a report.
struct report_title
{
    std::string m_deployment;
    std::string m_command; ///< command line that repeats the run
};

/// @return a report in plain text: tables by customer and class, gaps, and
/// every violation with its attempts
std::string to_text(report_title const& title, run_result const& result);

/// @return the summary and the violations as a JSON object
std::string to_json(report_title const& title, run_result const& result);

/// @return an HTML page with inline plots
std::string to_html(report_title const& title, run_result const& result);

/// @return true if every guarantee held and all groups could be checked
bool guarantees_held(run_result const& result);

} // namespace camphortide::load
