#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <camphortide/platform/store_protocol.hpp>

namespace camphortide::proxy
{

/// A place in the changes that one process has seen.
struct news_cursor
{
    std::uint64_t m_process = 0; ///< when the process started; 0: nothing known
    std::uint64_t m_change = 0;

    friend auto operator<=>(news_cursor const&, news_cursor const&) = default;
};

/// What changed behind a cursor.
struct mirror_page
{
    std::vector<platform::store_object> m_objects;
    bool m_whole = false; ///< what isn't in it doesn't exist
    std::uint64_t m_revision = 0;
    news_cursor m_cursor;

    friend auto operator<=>(mirror_page const&, mirror_page const&) = default;
};

/// The objects of one kind as this instance knows them, to tell others.
class object_mirror
{
public:
    /// @param process when this process started
    explicit object_mirror(std::uint64_t process) : m_process(process) {}

    /// Takes in news.
    /// @param whole what isn't in the objects doesn't exist
    /// @param revision the store's, up to which all is known now
    void take(std::vector<platform::store_object> const& objects, bool whole,
              std::uint64_t revision);

    /// @return true once the objects are known
    bool complete() const { return m_complete; }
    std::uint64_t revision() const { return m_revision; }
    news_cursor cursor() const { return {m_process, m_change}; }

    /// @param cursor of an earlier page; of another process: all is told
    mirror_page since(news_cursor const& cursor) const;

private:
    struct entry
    {
        platform::store_object m_object;
        std::uint64_t m_change = 0; ///< the last one of the object
    };

    void put(platform::store_object const& object);
    void remove_all_but(std::vector<platform::store_object> const& objects);
    void forget_removed();

    std::uint64_t m_process;
    std::uint64_t m_change = 0;
    std::uint64_t m_revision = 0;
    std::uint64_t m_forgotten = 0; ///< removals up to here aren't kept
    bool m_complete = false;
    std::map<std::string, entry> m_entries; ///< removed ones too
};

} // namespace camphortide::proxy
