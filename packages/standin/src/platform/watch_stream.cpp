#include "watch_stream.hpp"

#include "platform_service.hpp"

#include <utility>

namespace camphortide::standin
{

watch_stream::watch_stream(platform_service& service, std::string prefix)
    : m_service(service),
      m_prefix(std::move(prefix))
{
}

void watch_stream::start(grpc::Status const& status)
{
    m_self = shared_from_this();
    if (status.ok())
    {
        StartSendInitialMetadata();
        return;
    }
    m_writing = false;
    finish(status);
}

void watch_stream::send(object_change const& change)
{
    if (change.m_object.m_name.compare(0, m_prefix.size(), m_prefix) != 0)
    {
        return;
    }
    platform::v1::WatchEvent event;
    event.mutable_object()->set_name(change.m_object.m_name);
    event.mutable_object()->set_version(change.m_object.m_version);
    event.mutable_object()->set_value(change.m_object.m_value);
    event.set_deleted(change.m_deleted);
    std::scoped_lock const lock(m_mutex);
    m_events.push_back(std::move(event));
    write_next();
}

void watch_stream::finish(grpc::Status const& status)
{
    std::scoped_lock const lock(m_mutex);
    if (m_finishing)
    {
        return;
    }
    m_finishing = true;
    m_status = status;
    write_next();
}

void watch_stream::write_next()
{
    if (m_writing || m_finished)
    {
        return;
    }
    if (m_finishing)
    {
        m_finished = true;
        Finish(m_status);
    }
    else if (!m_events.empty())
    {
        m_writing = true;
        StartWrite(&m_events.front());
    }
}

void watch_stream::OnSendInitialMetadataDone(bool)
{
    std::scoped_lock const lock(m_mutex);
    m_writing = false;
    write_next();
}

void watch_stream::OnWriteDone(bool)
{
    std::scoped_lock const lock(m_mutex);
    m_events.pop_front();
    m_writing = false;
    write_next();
}

void watch_stream::OnCancel()
{
    finish(grpc::Status::CANCELLED);
}

void watch_stream::OnDone()
{
    auto const self = std::move(m_self);
    m_service.watch_ended(this);
}

} // namespace camphortide::standin
