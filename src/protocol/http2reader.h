// Reads the frames of one direction of an HTTP/2 connection (RFC 9113) while they are passed on.
#pragma once

#include "state/types.h"

#include <array>
#include <cstdint>
#include <string_view>

namespace roserail
{

using CallId = Id<struct CallIdTag, uint32_t>; // of a stream of HTTP/2; 0 for frames of the whole connection

enum class FrameType : uint8_t { Data = 0, Headers = 1, Reset = 3, Settings = 4, Ping = 6 }; // others are only passed on

struct FrameHead {
    FrameType type{};
    uint8_t flags = 0;
    CallId call{};

    bool endsStream() const;
    // Returns whether the receiver answers the frame with one of the same type, or whether the frame is such an answer.
    bool asksForAck() const;
    bool isAck() const;
};

class FrameObserver
{
public:
    virtual ~FrameObserver() = default;
    // Both return false to end the connection.
    virtual bool onFrame(const FrameHead &head) = 0;
    // `bytes`: of the payload of a DATA frame, without padding, as they arrive.
    virtual bool onData(CallId call, std::string_view bytes) = 0;
};

class Http2Reader
{
public:
    // `preface`: the direction begins with the client's preface.
    explicit Http2Reader(bool preface);

    // Reads on. Returns false if the bytes are no HTTP/2 or the observer ends the connection.
    bool read(std::string_view bytes, FrameObserver &observer);

private:
    static constexpr size_t FrameHeadBytes = 9;

    bool readPreface(std::string_view &bytes);
    bool readHead(std::string_view &bytes, FrameObserver &observer);
    bool readPayload(std::string_view &bytes, FrameObserver &observer);

    size_t m_prefaceLeft;
    std::array<uint8_t, FrameHeadBytes> m_headBytes{};
    size_t m_headSize = 0;
    FrameHead m_head;
    size_t m_payloadLeft = 0;
    size_t m_paddingLeft = 0; // of m_payloadLeft
    bool m_expectsPadLength = false;
};

} // namespace roserail
