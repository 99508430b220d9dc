#include "catalogue_schema.hpp"

#include <algorithm>
#include <utility>

#include <camphortide/state/catalogue_validation.hpp>
#include <camphortide/transport/settings/catalogue_file.hpp>

namespace camphortide::transport
{

namespace
{

constexpr int indentation = 2;

/// @return the key path of the record with a name; empty if there is none
template <typename Record>
std::string record_path(std::string_view list,
                        std::vector<Record> const& records,
                        std::string const& name)
{
    auto const it = std::find_if(records.begin(), records.end(),
                                 [&name](Record const& each)
                                 { return each.m_name == name; });
    if (it == records.end())
    {
        return {};
    }
    return joined({list, "[", std::to_string(it - records.begin()), "]"});
}

void add_problem(catalogue_records const& records,
                 state::catalogue_problem const& problem,
                 error_reporter const& reporter)
{
    auto path = record_path("entries", records.m_entries, problem.m_subject);
    if (path.empty())
    {
        path = record_path("groups", records.m_groups, problem.m_subject);
    }
    reporter.at(path).report(
        setting_error_kind::conflict, "a valid catalogue",
        joined({to_string(problem.m_kind), " in ", problem.m_subject}));
}

} // namespace

checked<state::catalogue> parse_catalogue(std::string const& file,
                                          std::string const& text)
{
    reading_context context{file, {}, {}};
    json const document = parse_json(file, text, context.m_errors);
    if (!context.m_errors.empty())
    {
        return {{}, std::move(context.m_errors)};
    }
    error_reporter const reporter(context);
    auto records = catalogue_schema().read(document, reporter);
    state::catalogue value(records.m_version, records.m_entries,
                           records.m_groups);
    if (context.m_errors.empty())
    {
        for (auto const& problem : validate(value))
        {
            add_problem(records, problem, reporter);
        }
    }
    return {std::move(value), std::move(context.m_errors)};
}

checked<state::catalogue> read_catalogue_file(std::string const& path)
{
    std::vector<setting_error> errors;
    auto const text = read_file(path, errors);
    if (!errors.empty())
    {
        return {{}, std::move(errors)};
    }
    return parse_catalogue(path, text);
}

std::string write_catalogue(state::catalogue const& value)
{
    return catalogue_schema()
               .write({value.version(), value.groups(), value.entries()})
               .dump(indentation) +
           '\n';
}

} // namespace camphortide::transport
