// Passes a stream from the thread that reads an endpoint to the thread that writes to the caller.
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
    // What the caller's side takes next.
    struct Item {
        enum Kind { Event, Idle, End } kind = Idle;
        SseEvent event;
    };

    // Runs `produce` in a thread of its own; its result ends the pipe.
    explicit StreamPipe(std::function<Result<Answer>(StreamSink &)> produce);
    ~StreamPipe() override;
    StreamPipe(const StreamPipe &) = delete;
    StreamPipe &operator=(const StreamPipe &) = delete;

    void granted() override;
    bool event(const std::string &token, const std::string &data) override;

    // Waits until there is an event or the end, or the request runs for longer than a heartbeat's time.
    void waitForStart();
    // True if the request ended before its first event.
    bool endedBeforeFirstEvent();
    // The next item; Silence after a heartbeat's time without one.
    Item next();
    // The producer's result, once the end was taken.
    const Result<Answer> &result() const
    {
        return m_result;
    }
    // The caller has gone: the producer stops at its next event.
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
