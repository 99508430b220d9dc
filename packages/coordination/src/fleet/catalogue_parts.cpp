#include <iterator>
#include <utility>

#include <camphortide/coordination/fleet/catalogue_parts.hpp>
#include <camphortide/coordination/fleet/rendezvous.hpp>

namespace camphortide::coordination
{

namespace
{

template <class Record>
void append(std::vector<Record>& to, std::vector<Record>&& from)
{
    to.insert(to.end(), std::make_move_iterator(from.begin()),
              std::make_move_iterator(from.end()));
}

} // namespace

std::uint32_t bucket_of(std::string_view name)
{
    return static_cast<std::uint32_t>(hash_name(name) % catalogue_buckets);
}

std::optional<state::catalogue> assemble(state::catalogue_head const& head,
                                         chunk_map const& chunks,
                                         catalogue_codec const& codec)
{
    chunk_content all;
    for (auto const& reference : head.m_chunks)
    {
        auto const found = chunks.find(reference.m_name);
        if (found == chunks.end() ||
            codec.digest(*found->second) != reference.m_digest)
        {
            return std::nullopt;
        }
        auto content = codec.decode(*found->second);
        if (!content)
        {
            return std::nullopt;
        }
        append(all.m_entries, std::move(content->m_entries));
        append(all.m_groups, std::move(content->m_groups));
    }
    return state::catalogue(head.m_version, std::move(all.m_entries),
                            std::move(all.m_groups));
}

std::map<std::uint32_t, chunk_content>
split_into_buckets(state::catalogue const& value)
{
    std::map<std::uint32_t, chunk_content> result;
    for (auto const& group : value.groups())
    {
        result[bucket_of(group.m_name)].m_groups.push_back(group);
    }
    for (auto const& entry : value.entries())
    {
        result[bucket_of(entry.m_name)].m_entries.push_back(entry);
    }
    return result;
}

} // namespace camphortide::coordination
