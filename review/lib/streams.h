// Clients of resumable streams, for the scripts of this review.
#pragma once

#include "system.h"

#include <sstream>

namespace review
{

struct Piece {
    int64_t id = 0;
    std::string runner;
    std::string software;
};

// What one client received over its tries.
struct Stream {
    std::string id;
    std::vector<Piece> pieces;
    std::vector<std::string> ends;
    bool complete = false;
};

// Sends a request of a resumable stream and adds the events of the answer. Returns how the answer ended.
inline std::string tryStream(Deployment &deployment, int machine, const std::string &id, const std::string &resumes, int maxPieces,
                             Stream &stream, const std::string &model = "m1")
{
    httplib::Request request;
    request.method = "POST";
    request.path = "/guide/x";
    request.body = "prompt of " + stream.id;
    request.headers
        = {{"Host", "h.example"},
           {"X-Request-Id", id},
           {"X-Deadline-Ms", "25000"},
           {"X-Model", model},
           {"X-Token-Count", "826,290"},
           {"X-Prefix-Hash",
            fmt::format("{:x}:198,{:x}:628", std::hash<std::string>()(stream.id), std::hash<std::string>()(stream.id + "session"))},
           {"Content-Type", "application/json"}};
    if (!resumes.empty()) {
        request.headers.emplace("Last-Event-Id", std::to_string(stream.pieces.back().id));
        request.headers.emplace("Resumes", resumes);
    }
    std::string unread;
    int status = 0;
    request.response_handler = [&](const httplib::Response &response) {
        status = response.status;
        return true;
    };
    request.content_receiver = [&](const char *data, size_t n, uint64_t, uint64_t) {
        unread.append(data, n);
        for (size_t end = unread.find("\n\n"); status == 200 && end != std::string::npos; end = unread.find("\n\n")) {
            std::istringstream event(unread.substr(0, end));
            unread.erase(0, end + 2);
            Piece piece;
            std::string word;
            event >> word >> piece.id >> word >> piece.runner >> piece.software;
            stream.pieces.push_back(piece);
        }
        return maxPieces == 0 || int(stream.pieces.size()) < maxPieces;
    };
    httplib::Client client = clientFor(Deployment::address(machine), deployment.listenPort(), Ms(3000));
    const httplib::Result result = client.send(request);
    stream.complete = bool(result) && status == 200;
    return fmt::format("machine {}: status {}, {}", machine, status, result ? "whole" : httplib::to_string(result.error()));
}

inline std::string versionsOf(const Stream &stream)
{
    std::string text;
    std::string last;
    for (const Piece &it : stream.pieces) {
        const std::string source = it.runner + " " + it.software;
        if (source != last)
            text += fmt::format("{}from event {} {}", text.empty() ? "" : ", ", it.id, source);
        last = source;
    }
    return text;
}

} // namespace review
