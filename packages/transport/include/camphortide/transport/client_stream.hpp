#pragma once

#include <deque>
#include <memory>
#include <mutex>
#include <utility>

#include <grpcpp/grpcpp.h>
#include <grpcpp/support/client_callback.h>

namespace camphortide::transport
{

/// The client's side of one bidirectional stream. Queues outgoing messages, and
/// keeps itself alive until gRPC has called OnDone.
template <typename Request, typename Reply>
class client_stream
    : public grpc::ClientBidiReactor<Request, Reply>,
      public std::enable_shared_from_this<client_stream<Request, Reply>>
{
public:
    /// Opens the stream. Called once, after construction by make_shared.
    /// @param method calls the stub's method with the given context and reactor
    template <typename Method>
    void start(Method const& method)
    {
        m_self = this->shared_from_this();
        method(&m_context,
               static_cast<grpc::ClientBidiReactor<Request, Reply>*>(this));
        this->AddHold();
        this->StartRead(&m_reply);
        this->StartCall();
    }

    /// Queues a message.
    /// @return false if finish_writes() or close() was called before
    bool send(Request request)
    {
        std::scoped_lock const lock(m_mutex);
        if (m_closed || m_finishing)
        {
            return false;
        }
        m_requests.push_back(std::move(request));
        if (m_requests.size() == 1)
        {
            this->StartWrite(&m_requests.front());
        }
        return true;
    }

    /// Closes the client's side of the stream once all queued messages have
    /// been sent. on_closed follows when the server has ended its side.
    void finish_writes()
    {
        std::scoped_lock const lock(m_mutex);
        if (m_closed || m_finishing)
        {
            return;
        }
        m_finishing = true;
        if (m_requests.empty())
        {
            this->StartWritesDone();
        }
    }

    /// Cancels the stream. on_closed follows, possibly before the server has
    /// noticed.
    void close()
    {
        {
            std::scoped_lock const lock(m_mutex);
            if (m_closed)
            {
                return;
            }
            m_closed = true;
        }
        m_context.TryCancel();
        this->RemoveHold();
    }

protected:
    /// Handles a message from the server.
    virtual void handle(Reply const& reply) = 0;

    /// Called once, when the stream has ended for any reason.
    virtual void on_closed(grpc::Status const& status) = 0;

private:
    void OnReadDone(bool ok) override
    {
        if (!ok)
        {
            close();
            return;
        }
        handle(m_reply);
        this->StartRead(&m_reply);
    }

    void OnWriteDone(bool ok) override
    {
        std::scoped_lock const lock(m_mutex);
        m_requests.pop_front();
        if (ok && !m_closed && !m_requests.empty())
        {
            this->StartWrite(&m_requests.front());
        }
        else if (ok && !m_closed && m_finishing)
        {
            this->StartWritesDone();
        }
    }

    void OnDone(grpc::Status const& status) override
    {
        auto const self = std::move(m_self);
        on_closed(status);
    }

    std::shared_ptr<client_stream> m_self;
    grpc::ClientContext m_context;
    std::mutex m_mutex;
    std::deque<Request> m_requests;
    bool m_finishing = false;
    bool m_closed = false;
    Reply m_reply;
};

} // namespace camphortide::transport
