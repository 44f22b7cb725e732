// Passes a stream of events on in whole events, so that another endpoint's run can go on after the last one.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace roserail
{

class EventRelay
{
public:
    // Takes bytes of a run and returns those that complete events.
    std::string feed(std::string_view bytes);
    // What is left of a run that has ended in order.
    std::string takeRemainder();
    // Another run goes on: the unfinished event of the one before is dropped.
    void beginRun();
    // Id of the last event that was returned; empty: none yet.
    const std::string &lastId() const
    {
        return m_lastId;
    }
    // False once an event's id was not the one after the last: pieces of two runs don't fit together.
    bool continuous() const
    {
        return m_continuous;
    }

private:
    void trackEventId(std::string_view event);

    std::string m_unfinished;
    std::string m_lastId;
    bool m_continuous = true;
    bool m_resumed = false; // the next event is the first of a run that goes on
};

} // namespace roserail
