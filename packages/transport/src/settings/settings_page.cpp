#include <camphortide/transport/settings/settings_file.hpp>

namespace camphortide::transport
{

namespace
{

constexpr char const* introduction =
    R"(# Settings of an instance

An instance reads one file of JSON with comments, given by `--settings FILE`.
A key with dots lies in inner objects: `listen.callers` is
`{"listen": {"callers": "127.0.0.1:7400"}}`. Times and sizes carry their unit:
`"250 ms"`, `"1 MiB"`. `--set KEY=VALUE` goes before the file.

The file is checked as a whole before anything starts. Every fault is printed,
one a line, with the file, the key and what was expected; the exit code is 2.
`camphortide check FILE` does the same without starting.

This page is generated from the table that checks the file
(`camphortide check --reference`).

| key | value | default | meaning |
|---|---|---|---|
)";

} // namespace

std::string instance_settings_page()
{
    std::string page = introduction;
    for (auto const& row : instance_setting_rows())
    {
        page += "| `" + row.m_key + "` | " + row.m_type + " | " +
                (row.m_default == "required" || row.m_default == "\"\""
                     ? (row.m_default == "required" ? "required" : "none")
                     : "`" + row.m_default + "`") +
                " | " + row.m_help + " |\n";
    }
    return page;
}

} // namespace camphortide::transport
