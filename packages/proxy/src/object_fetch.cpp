#include <utility>

#include <camphortide/proxy/object_fetch.hpp>

namespace camphortide::proxy
{

using platform::store_outcome;

object_fetch::object_fetch(store_client& store, platform::object_kind kind,
                           std::vector<object_reference> references,
                           handler done)
    : m_store(store),
      m_kind(kind),
      m_references(std::move(references)),
      m_done(std::move(done))
{
}

void object_fetch::start()
{
    if (m_references.empty())
    {
        m_done(std::move(m_objects));
        return;
    }
    request(true);
}

void object_fetch::request(bool allow_stale)
{
    m_store.send(
        platform::read_request(m_kind, m_references.back().m_name, allow_stale),
        [self = shared_from_this(),
         allow_stale](store_outcome outcome,
                      std::optional<platform::http_response> const& response)
        { self->completed(allow_stale, outcome, response); });
}

void object_fetch::completed(
    bool allow_stale, store_outcome outcome,
    std::optional<platform::http_response> const& response)
{
    auto object = outcome == store_outcome::done
                      ? platform::parse_object(*response)
                      : std::nullopt;
    auto const& wanted = m_references.back();
    bool const usable = object && object->m_name == wanted.m_name &&
                        object->m_revision.era() == wanted.m_revision.era() &&
                        object->m_revision >= wanted.m_revision;
    if (usable)
    {
        m_objects.push_back(std::move(*object));
        m_references.pop_back();
        start();
        return;
    }
    // A stale response may also lack an object that was just created.
    bool const stale = allow_stale && (outcome == store_outcome::done ||
                                       outcome == store_outcome::not_found);
    if (stale)
    {
        request(false);
        return;
    }
    m_done(std::nullopt);
}

} // namespace camphortide::proxy
