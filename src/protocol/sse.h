// Server-sent events, and the token with which a caller resumes a stream through any router.
#pragma once

#include "state/errors.h"
#include "state/types.h"

#include <string>
#include <vector>

namespace roserail
{

// One event, or a comment when `data` is empty.
struct SseEvent {
    std::string id;
    std::string data;
};

// Splits a byte stream into events, independent of the sizes of the chunks in which it arrives.
class SseParser
{
public:
    // Returns the events that the chunk completes. An event over the size limit ends parsing: `overflow` becomes true.
    std::vector<SseEvent> feed(const char *data, size_t n);
    bool overflow() const
    {
        return m_overflow;
    }

private:
    void processLine(const std::string &line, std::vector<SseEvent> &out);

    std::string m_line;
    SseEvent m_event;
    bool m_hasField = false;
    bool m_overflow = false;
};

std::string encodeSse(const SseEvent &event);

// Identifies a caller's position in a stream: the endpoint that runs it, the attempt, and the next offset.
struct ResumeToken {
    EndpointId endpoint;
    uint64_t incarnation = 0;
    AttemptId attempt;
    uint64_t callerHash = 0;
    uint64_t next = 0;
};

std::string encodeResumeToken(const ResumeToken &token);
Result<ResumeToken> parseResumeToken(const std::string &text);

} // namespace roserail
