// Splits a stream of server-sent events at the ends of events, so that only complete events are forwarded and a run on
// another endpoint can continue after the last one.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace roserail
{

class EventRelay
{
public:
    // Appends bytes of a run and returns the events that are now complete.
    std::string feed(std::string_view bytes);
    // Returns whether a run that ends here was broken off: inside an event or, if only the end of its connection tells that
    // the answer has ended (`framed` is false), before the first event.
    bool brokenOff(bool framed) const;
    // Starts a run, which continues the stream after the last event. Drops the incomplete event of the previous run.
    void beginRun();
    // Id of the last event returned; empty if there is none yet.
    const std::string &lastId() const
    {
        return m_lastId;
    }
    // Number of complete events, over all runs.
    uint64_t events() const
    {
        return m_events;
    }
    // Bytes of the current run that belong to an incomplete event.
    size_t unfinishedBytes() const
    {
        return m_unfinished.size();
    }
    // Returns false once the first id of a run is not the successor of the last id before it: events are missing or
    // repeated where the two runs meet.
    bool continuous() const
    {
        return m_continuous;
    }

private:
    void processEvent(std::string_view event);

    std::string m_unfinished;
    bool m_insideEvent = false; // the current event has a byte that is not an empty line
    bool m_lineEmpty = true; // the current line has no byte yet
    bool m_afterReturn = false; // the last byte was a carriage return: a line feed belongs to the same line end
    bool m_runHasEvent = false;
    std::string m_lastId;
    uint64_t m_events = 0;
    bool m_continuous = true;
    bool m_resumed = false; // the next event is the first of a run that continues the stream
};

} // namespace roserail
