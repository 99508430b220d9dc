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

/// Action: write the head's object if its version in the store is still
/// `m_if_version`.
struct write_head
{
    std::uint64_t m_if_version = 0; ///< 0: create the object
    catalogue_parts m_parts;
};

/// Action: remove a chunk that no head references any more. The edit doesn't
/// need the reply.
struct remove_chunk
{
    std::string m_chunk;
};

using edit_action =
    std::variant<read_head, read_chunk, create_chunk, write_head, remove_chunk>;

/// The store's reply to a write.
enum class write_reply
{
    done,
    conflict, ///< the object has another version
    lost      ///< no reply; the write may have taken effect
};

/// Times and bounds of an edit.
struct catalogue_edit_settings
{
    state::duration m_retry_delay{200};  ///< before a failed call is retried
    state::duration m_timeout{60'000};   ///< of the whole edit
    std::size_t m_max_history = 128;     ///< changes kept in the head's history
    std::size_t m_max_named_records = 8; ///< record names kept for each of them
    /// New chunks up to this total size are also stored in the head.
    std::size_t m_max_inline_bytes = 16'384;
};

/// Writes one change to the store by a conditional write of the head, or finds
/// out the outcome of an earlier change. At most one call is outstanding; pass
/// each reply to the handler of its kind.
class catalogue_edit
{
public:
    using actions = std::vector<edit_action>;

    /// What the edit is for.
    enum class purpose
    {
        apply,  ///< write the change unless it is refused
        resolve ///< find out whether it was accepted; if not, bar it
    };

    /// @param settings times and bounds
    /// @param change the change; for `resolve` only its identifier is needed
    /// @param wanted what the edit is for
    /// @param codec encodes chunks; must outlive the edit
    /// @param now the current time
    catalogue_edit(catalogue_edit_settings const& settings,
                   catalogue_change change, purpose wanted,
                   catalogue_codec const& codec, state::time_point now);

    /// Checks the deadline and starts due calls; call it at least every 100 ms.
    /// @return calls to make
    actions tick(state::time_point now);

    /// Handles the head's object.
    /// @param object_version its version in the store; 0 if it does not exist
    /// @param parts its value; none if it does not exist or is damaged
    /// @return calls to make
    actions on_head(std::uint64_t object_version,
                    std::optional<catalogue_parts> parts);

    /// Handles a chunk's object.
    /// @param bytes its value; null if it does not exist
    /// @return calls to make
    actions on_chunk(std::string const& chunk, chunk_bytes bytes);

    /// Handles the reply to the creation of a chunk. A conflict means that an
    /// earlier attempt whose reply was lost has created it.
    /// @return calls to make
    actions on_chunk_created(write_reply reply, state::time_point now);

    /// Handles the reply to the write of the head.
    /// @return calls to make
    actions on_head_written(write_reply reply, state::time_point now);

    /// Handles a failed read.
    /// @return calls to make
    actions on_read_failed(state::time_point now);

    /// @return the outcome of the change; pending until it is known
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
    std::optional<edit_action> m_retry_action; ///< sent at `m_retry_at`
    std::uint64_t m_object_version = 0;
    state::catalogue_head m_base;
    chunk_map m_cached_chunks; ///< chunks of `m_base` that were read
    std::optional<catalogue_parts> m_next; ///< the head to write
    chunk_map m_new_chunks;                ///< chunks that `m_next` adds
    std::vector<std::string> m_chunks_to_create;
    std::vector<std::string> m_replaced_chunks;
    /// A write was sent and may still take effect.
    bool m_head_may_be_written = false;
    edit_result m_result;
};

} // namespace camphortide::coordination
