// Frames of HTTP/2 as text, as a client of the internal protocol sends them.
#pragma once

#include <cstdint>
#include <string>

namespace roserail::test
{

constexpr uint8_t Http2Data = 0;
constexpr uint8_t Http2Headers = 1;
constexpr uint8_t Http2Reset = 3;
constexpr uint8_t Http2Settings = 4;
constexpr uint8_t Http2Ping = 6;
constexpr uint8_t Http2EndStream = 0x1;
constexpr uint8_t Http2EndHeaders = 0x4;
constexpr uint8_t Http2Padded = 0x8;

inline std::string http2Frame(uint8_t type, uint8_t flags, uint32_t stream, const std::string &payload)
{
    std::string out;
    for (const int shift : {16, 8, 0})
        out += char(payload.size() >> shift);
    out += char(type);
    out += char(flags);
    for (const int shift : {24, 16, 8, 0})
        out += char(stream >> shift);
    return out + payload;
}

// What a client sends first.
inline std::string http2Preface()
{
    return "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + http2Frame(Http2Settings, 0, 0, "");
}

// Returns the head of a call. `path`: at most 127 bytes.
inline std::string http2Call(const std::string &path, uint32_t stream)
{
    const auto text = [](const std::string &it) {
        return char(it.size()) + it;
    };
    std::string fields = "\x83\x86"; // POST, http
    fields += '\x04' + text(path);
    fields += '\x01' + text("h");
    fields += "\x0f\x10" + text("application/grpc"); // content type
    fields += '\0' + text("te") + text("trailers");
    return http2Frame(Http2Headers, Http2EndHeaders, stream, fields);
}

// Returns the heads of calls that stay open.
inline std::string http2Calls(const std::string &path, uint32_t count)
{
    std::string out;
    for (uint32_t i = 0; i < count; ++i)
        out += http2Call(path, 2 * i + 1);
    return out;
}

// Returns a message as gRPC frames it, with `bytes` announced and `text` sent.
inline std::string grpcMessage(uint32_t bytes, const std::string &text, bool compressed = false)
{
    std::string out(1, compressed ? '\1' : '\0');
    for (const int shift : {24, 16, 8, 0})
        out += char(bytes >> shift);
    return out + text;
}

} // namespace roserail::test
