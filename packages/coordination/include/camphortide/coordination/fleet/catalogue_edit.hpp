#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include <camphortide/coordination/fleet/catalogue_change.hpp>
#include <camphortide/coordination/fleet/catalogue_parts.hpp>
#include <camphortide/state/clock.hpp>

namespace camphortide::coordination
{

/// Action: read the head's object.
struct read_head
{
};

/// Action: read a chunk's object.
struct read_chunk
{
    std::string m_chunk;
};

/// Action: create a chunk's object.
struct create_chunk
{
    std::string m_chunk;
    chunk_bytes m_bytes;
};

/// Action: write the head's object if its version in the store is this one.
struct write_head
{
    std::uint64_t m_if_version = 0; ///< the store's version; 0 creates it
    catalogue_parts m_parts;
};

/// Action: remove a chunk that nothing names any more. Its reply is not
/// needed.
struct remove_chunk
{
    std::string m_chunk;
};

using edit_action =
    std::variant<read_head, read_chunk, create_chunk, write_head, remove_chunk>;

/// What the store answered to a write.
enum class write_reply
{
    done,
    conflict, ///< the object has another version
    lost      ///< no reply; it may have been done
};

/// Times of an edit.
struct catalogue_edit_settings
{
    state::duration m_retry_delay{200};  ///< pause after a failed call
    state::duration m_timeout{60'000};   ///< then the edit ends
    std::size_t m_max_history = 128;     ///< changes that the head names
    std::size_t m_max_named_records = 8; ///< that the head names for a change
    std::size_t m_max_inline_bytes = 16'384; ///< new chunks kept in the head
};

/// Carries one change into the store by a conditional write of the head, or
/// finds out what became of one. At most one call is outstanding; give each
/// reply to the method of its kind.
class catalogue_edit
{
public:
    using actions = std::vector<edit_action>;

    /// What the edit is to do.
    enum class purpose
    {
        apply,  ///< get the change accepted or refused
        resolve ///< tell whether it was accepted, and bar it if it was not
    };

    /// @param settings times and bounds
    /// @param change the change; for `resolve` its identifier is enough
    /// @param wanted what to do
    /// @param codec encodes chunks; outlives the edit
    /// @param now the time
    catalogue_edit(catalogue_edit_settings const& settings,
                   catalogue_change change, purpose wanted,
                   catalogue_codec const& codec, state::time_point now);

    /// Lets time pass; call it at least every 100 ms.
    /// @return what to do
    actions tick(state::time_point now);

    /// Takes the head's object.
    /// @param object_version the store's version; 0 if there is no object
    /// @param parts its value; none if there is no object, or if it is damaged
    /// @return what to do
    actions on_head(std::uint64_t object_version,
                    std::optional<catalogue_parts> parts);

    /// Takes a chunk's object.
    /// @param bytes its value; null if there is no such object
    /// @return what to do
    actions on_chunk(std::string const& chunk, chunk_bytes bytes);

    /// Takes the reply to the creation of a chunk. A conflict means that it
    /// exists already, from a creation whose reply was lost.
    /// @return what to do
    actions on_chunk_created(write_reply reply, state::time_point now);

    /// Takes the reply to the write of the head.
    /// @return what to do
    actions on_head_written(write_reply reply, state::time_point now);

    /// Takes the failure of a read.
    /// @return what to do
    actions on_read_failed(state::time_point now);

    /// @return what became of the change; pending as long as it is not known
    edit_result const& result() const { return m_result; }

private:
    void finish(edit_outcome outcome, std::uint64_t version = 0);
    bool finish_from_head();
    void append_next_read(actions& out);
    void prepare_change(actions& out);
    void prepare_bar(actions& out);
    void build_parts(state::catalogue const& next);
    void replace_bucket(std::uint32_t bucket, chunk_content const* content);
    void append_next_write(actions& out);
    void append_removals(actions& out, std::vector<std::string> const& chunks);
    std::set<std::uint32_t> touched_buckets() const;
    std::vector<std::string> touched_records() const;
    std::vector<std::string> named_records() const;

    catalogue_edit_settings m_settings;
    catalogue_change m_change;
    purpose m_purpose;
    catalogue_codec const& m_codec;
    state::time_point m_deadline;

    bool m_started = false;
    std::optional<state::time_point> m_retry_at;
    std::optional<edit_action> m_retry_action; ///< what is sent at the retry
    std::uint64_t m_object_version = 0;
    state::catalogue_head m_base;
    chunk_map m_cached_chunks;             ///< chunks of the base
    std::optional<catalogue_parts> m_next; ///< being written
    chunk_map m_new_chunks;                ///< chunks of the next version
    std::vector<std::string> m_chunks_to_create;
    std::vector<std::string> m_replaced_chunks;
    bool m_head_may_be_written = false; ///< a write of the head was sent
    edit_result m_result;
};

} // namespace camphortide::coordination
