// Queue of a stream's events between the thread that reads from an endpoint and the thread that writes to the caller.
#pragma once

#include "transport/exchange.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>

namespace roserail
{

class StreamPipe : public StreamSink
{
public:
    // Result of one read from the queue.
    struct Item {
        enum Kind { Event, Idle, End } kind = Idle;
        SseEvent event;
    };

    // Runs `produce` in a separate thread. The stream ends when it returns.
    explicit StreamPipe(std::function<Result<Answer>(StreamSink &)> produce);
    ~StreamPipe() override;
    StreamPipe(const StreamPipe &) = delete;
    StreamPipe &operator=(const StreamPipe &) = delete;

    void granted() override;
    bool event(const std::string &token, const std::string &data) override;

    // Waits until the request runs on an endpoint or has ended, and then at most StreamHeartbeatInterval for its first
    // event or its end.
    void waitForStart();
    // Returns whether the request ended before its first event.
    bool endedBeforeFirstEvent();
    // Waits for the next item; returns Idle if there is none within StreamHeartbeatInterval.
    Item next();
    // Returns the result of `produce`. Valid after next() has returned End, or if
    // endedBeforeFirstEvent() returns true.
    const Result<Answer> &result() const
    {
        return m_result;
    }
    // Called when the caller has disconnected: the producer stops at its next event.
    void close();

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<SseEvent> m_events;
    bool m_granted = false;
    bool m_done = false;
    bool m_closed = false;
    bool m_anyEvent = false;
    Result<Answer> m_result;
    std::thread m_thread;
};

} // namespace roserail
