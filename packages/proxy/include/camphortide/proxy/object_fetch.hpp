#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include <camphortide/proxy/object_cache.hpp>
#include <camphortide/proxy/store_client.hpp>

namespace camphortide::proxy
{

/// Reads objects from the store that were received as references. A read that
/// may be stale is tried first: it is cheaper and doesn't count toward the
/// store's rate. If it lacks the change, the current object is read.
class object_fetch : public std::enable_shared_from_this<object_fetch>
{
public:
    /// @param objects the objects, at the referenced revisions or later ones;
    ///     nothing if the store didn't return them
    using handler =
        std::function<void(std::optional<std::vector<platform::store_object>>)>;

    object_fetch(store_client& store, platform::object_kind kind,
                 std::vector<object_reference> references, handler done);

    /// Sends the first request. The fetch exists until it is done.
    void start();

private:
    void request(bool allow_stale);
    void completed(bool allow_stale, platform::store_outcome outcome,
                   std::optional<platform::http_response> const& response);

    store_client& m_store;
    platform::object_kind m_kind;
    /// Not read yet; the last one is read next.
    std::vector<object_reference> m_references;
    std::vector<platform::store_object> m_objects;
    handler m_done;
};

} // namespace camphortide::proxy
