#pragma once

#include <deque>
#include <memory>
#include <mutex>
#include <utility>

#include <grpcpp/grpcpp.h>

namespace camphortide::transport
{

/// The server's side of one bidirectional stream. Queues outgoing messages, and
/// keeps itself alive until gRPC has called OnDone.
template <typename Request, typename Reply>
class server_stream
    : public grpc::ServerBidiReactor<Request, Reply>,
      public std::enable_shared_from_this<server_stream<Request, Reply>>
{
public:
    /// Starts to read. Called once, after construction by make_shared.
    void start()
    {
        m_self = this->shared_from_this();
        this->StartRead(&m_request);
    }

    /// Queues a message. Does nothing after finish().
    void send(Reply reply)
    {
        std::scoped_lock const lock(m_mutex);
        if (m_finishing)
        {
            return;
        }
        m_replies.push_back(std::move(reply));
        if (m_replies.size() == 1)
        {
            this->StartWrite(&m_replies.front());
        }
    }

    /// Ends the stream once all queued messages have been sent.
    void finish(grpc::Status const& status)
    {
        std::scoped_lock const lock(m_mutex);
        if (m_finishing)
        {
            return;
        }
        m_finishing = true;
        m_status = status;
        if (m_replies.empty())
        {
            this->Finish(m_status);
        }
    }

protected:
    /// Handles a message from the client.
    virtual void handle(Request const& request) = 0;

    /// Called once, when the client has ended or cancelled the stream.
    virtual void on_end() = 0;

    /// Called when all queued messages have been sent.
    virtual void on_sent() {}

private:
    void OnReadDone(bool ok) override
    {
        if (!ok)
        {
            on_end();
            finish(grpc::Status::OK);
            return;
        }
        handle(m_request);
        this->StartRead(&m_request);
    }

    void OnWriteDone(bool ok) override
    {
        if (next_write(ok))
        {
            on_sent();
        }
    }

    /// Removes the sent message, or all messages if the write failed, and
    /// starts the next write, or ends the stream.
    /// @return true if the queue is empty and the stream goes on
    bool next_write(bool ok)
    {
        std::scoped_lock const lock(m_mutex);
        if (ok)
        {
            m_replies.pop_front();
        }
        else
        {
            m_replies.clear();
        }
        if (!m_replies.empty())
        {
            this->StartWrite(&m_replies.front());
            return false;
        }
        if (m_finishing)
        {
            this->Finish(m_status);
            return false;
        }
        return true;
    }

    void OnDone() override { auto const self = std::move(m_self); }

    std::shared_ptr<server_stream> m_self;
    std::mutex m_mutex;
    std::deque<Reply> m_replies;
    bool m_finishing = false;
    grpc::Status m_status;
    Request m_request;
};

} // namespace camphortide::transport
