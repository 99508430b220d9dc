#pragma once

namespace camphortide::transport
{

/// Wakes a thread that polls file descriptors.
class wake_event
{
public:
    wake_event();
    ~wake_event();
    wake_event(wake_event const&) = delete;
    wake_event& operator=(wake_event const&) = delete;

    /// Makes the descriptor readable. May be called from any thread.
    void set() const;

    /// Makes the descriptor unreadable again.
    void clear() const;

    /// @return the descriptor to poll
    int descriptor() const { return m_descriptor; }

private:
    int m_descriptor;
};

} // namespace camphortide::transport
