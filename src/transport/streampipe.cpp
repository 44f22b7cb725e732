#include "transport/streampipe.h"

namespace roserail
{

using namespace tunables;

namespace
{

constexpr size_t MaxQueuedEvents = 256; // when it is full, reading from the endpoint pauses until the caller reads

} // namespace

StreamPipe::StreamPipe(std::function<Result<Answer>(StreamSink &)> produce)
    : m_result(Answer{})
{
    m_thread = std::thread([this, produce = std::move(produce)] {
        Result<Answer> result = produce(*this);
        const std::lock_guard lock(m_mutex);
        m_result = std::move(result);
        m_done = true;
        m_changed.notify_all();
    });
}

StreamPipe::~StreamPipe()
{
    close();
    m_thread.join();
}

void StreamPipe::granted()
{
    const std::lock_guard lock(m_mutex);
    m_granted = true;
    m_changed.notify_all();
}

bool StreamPipe::event(const std::string &token, const std::string &data)
{
    std::unique_lock lock(m_mutex);
    m_changed.wait(lock, [this] { return m_closed || m_events.size() < MaxQueuedEvents; });
    if (m_closed)
        return false;
    m_anyEvent = true;
    m_events.push_back(SseEvent{token, data});
    m_changed.notify_all();
    return true;
}

void StreamPipe::waitForStart()
{
    std::unique_lock lock(m_mutex);
    m_changed.wait(lock, [this] { return m_granted || m_done; });
    m_changed.wait_for(lock, StreamHeartbeatInterval, [this] { return m_anyEvent || m_done; });
}

bool StreamPipe::endedBeforeFirstEvent()
{
    const std::lock_guard lock(m_mutex);
    return m_done && !m_anyEvent;
}

StreamPipe::Item StreamPipe::next()
{
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, StreamHeartbeatInterval, [this] { return m_done || !m_events.empty(); });
    Item item;
    if (!m_events.empty()) {
        item.kind = Item::Event;
        item.event = std::move(m_events.front());
        m_events.pop_front();
        m_changed.notify_all();
    } else if (m_done) {
        item.kind = Item::End;
    }
    return item;
}

void StreamPipe::close()
{
    const std::lock_guard lock(m_mutex);
    m_closed = true;
    m_changed.notify_all();
}

} // namespace roserail
