#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <camphortide/platform/store_protocol.hpp>

namespace camphortide::proxy
{

/// A position in the sequence of changes that one process has recorded.
struct change_cursor
{
    /// Start time of the process; 0: no changes are known.
    std::uint64_t m_process = 0;
    /// Number of the last change.
    std::uint64_t m_change = 0;

    friend auto operator<=>(change_cursor const&,
                            change_cursor const&) = default;
};

/// An object without its content.
struct object_reference
{
    std::string m_name;
    state::store_revision m_revision;

    friend auto operator<=>(object_reference const&,
                            object_reference const&) = default;
};

/// The changes after a cursor.
struct change_page
{
    std::vector<platform::store_object> m_objects;
    /// Further changed objects, whose content is not included.
    std::vector<object_reference> m_references;
    /// The page holds all objects; any other object doesn't exist.
    bool m_snapshot = false;
    /// Revision of the store. Its era is that of all objects and references.
    state::store_revision m_revision;
    /// Position after the page.
    change_cursor m_cursor;
    /// Digest of all objects' names and revisions after the page.
    std::uint64_t m_digest = 0;

    friend auto operator<=>(change_page const&, change_page const&) = default;
};

/// Cached objects of one kind, with numbered changes from which other instances
/// are updated.
class object_cache
{
public:
    /// @param process start time of this process
    explicit object_cache(std::uint64_t process) : m_process(process) {}

    /// Applies changed objects. The first update of an era of the store has to
    /// be a snapshot.
    /// @param snapshot true if the objects are all that exist
    /// @param revision revision of the store up to which changes are included
    void update(std::vector<platform::store_object> const& objects,
                bool snapshot, state::store_revision const& revision);

    /// @return true once a snapshot has been applied
    bool complete() const { return m_complete; }
    state::store_revision const& revision() const { return m_revision; }
    change_cursor cursor() const { return {m_process, m_change}; }

    /// @param cursor the cursor of an earlier page
    /// @param known_revision revision up to which the reader has all objects;
    ///     the default value: it has none
    /// @return the changes after the cursor. If the cursor is of another
    ///     process: the changes after the known revision, to be checked by the
    ///     digest. Without one, if it is of another era of the store, or if the
    ///     changes aren't kept any more: a snapshot
    change_page
    changes_since(change_cursor const& cursor,
                  state::store_revision const& known_revision = {}) const;

    /// @return the object; nullptr if it doesn't exist
    platform::store_object const* find(std::string const& name) const;

    /// @return the digest after the changes of a page that is no snapshot
    std::uint64_t digest_after(change_page const& page) const;

private:
    struct entry
    {
        platform::store_object m_object;
        /// Number of the object's last change.
        std::uint64_t m_change = 0;
        /// Revision of the cache when it received the last change.
        state::store_revision m_received_revision;
    };

    void put(platform::store_object const& object);
    void
    mark_missing_deleted(std::vector<platform::store_object> const& objects);
    void prune_deleted();
    void record_change(entry& cached, platform::store_object const& object);

    std::uint64_t m_process;
    std::uint64_t m_change = 0;
    state::store_revision m_revision;
    std::uint64_t m_digest = 0;
    /// Deletions up to this change aren't kept.
    std::uint64_t m_pruned_change = 0;
    bool m_complete = false;
    /// Includes deleted objects.
    std::map<std::string, entry> m_entries;
};

} // namespace camphortide::proxy
