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

/// @return the place of the record of a name; an empty one if there is none
template <typename Record>
std::string place_of(std::string_view list, std::vector<Record> const& records,
                     std::string const& name)
{
    auto const place = std::find_if(records.begin(), records.end(),
                                    [&name](Record const& each)
                                    { return each.m_name == name; });
    if (place == records.end())
    {
        return {};
    }
    return joined({list, "[", std::to_string(place - records.begin()), "]"});
}

void add_problem(catalogue_records const& records,
                 state::catalogue_problem const& problem,
                 value_reader const& reader)
{
    auto place = place_of("entries", records.m_entries, problem.m_subject);
    if (place.empty())
    {
        place = place_of("groups", records.m_groups, problem.m_subject);
    }
    reader.at(place).fail(
        setting_fault::conflict, "a valid catalogue",
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
    value_reader const reader(context);
    auto records = catalogue_schema().read(document, reader);
    state::catalogue value(records.m_version, records.m_entries,
                           records.m_groups);
    if (context.m_errors.empty())
    {
        for (auto const& problem : validate(value))
        {
            add_problem(records, problem, reader);
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
