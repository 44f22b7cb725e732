// A crowd of peers that send large messages to a server of the internal protocol, all at once, again and again.
#pragma once

#include "transport/channel.h"

#include <chrono>
#include <grpcpp/generic/generic_stub.h>
#include <memory>
#include <string>
#include <vector>

namespace roserail::test
{

class MessageCrowd
{
public:
    // `method`: as "/package.Service/Method". `bytes`: of each message, of which all peers share one copy. `compressed`: they are sent
    // compressed, to some thousandth.
    MessageCrowd(const std::string &address, std::string method, int peers, size_t bytes, bool compressed = false)
        : m_method(std::move(method))
        , m_compressed(compressed)
    {
        // A field that no message has, with a length.
        std::string text = "\xc2\xbb\x07";
        for (size_t left = bytes; left > 0; left >>= 7)
            text += char((left & 0x7f) | (left >= 0x80 ? 0x80 : 0));
        const grpc::Slice slice(text + std::string(bytes, 'x'));
        m_message = grpc::ByteBuffer(&slice, 1);
        for (int i = 0; i < peers; ++i) {
            m_calls.push_back(std::make_unique<Call>(address));
            start(*m_calls.back());
        }
    }
    ~MessageCrowd()
    {
        for (const std::unique_ptr<Call> &it : m_calls)
            it->context->TryCancel();
        m_queue.Shutdown();
        void *tag = nullptr;
        bool ok = false;
        while (m_queue.Next(&tag, &ok)) { }
    }
    MessageCrowd(const MessageCrowd &) = delete;
    MessageCrowd &operator=(const MessageCrowd &) = delete;

    // Sends for this time; each peer sends its next message when the last one has been answered or refused.
    void play(std::chrono::milliseconds time)
    {
        const std::chrono::system_clock::time_point end = std::chrono::system_clock::now() + time;
        void *tag = nullptr;
        bool ok = false;
        while (m_queue.AsyncNext(&tag, &ok, end) == grpc::CompletionQueue::GOT_EVENT) {
            Call &call = *static_cast<Call *>(tag);
            const bool handled = call.status.ok() || call.status.error_code() == grpc::StatusCode::INVALID_ARGUMENT;
            m_sentBytes += handled ? m_message.Length() : 0;
            start(call);
        }
    }
    // Returns the bytes of the messages that a handler has answered.
    size_t sentBytes() const
    {
        return m_sentBytes;
    }

private:
    struct Call {
        explicit Call(const std::string &address)
            : channel(address)
        {
        }
        Channel channel;
        std::unique_ptr<grpc::ClientContext> context;
        std::unique_ptr<grpc::ClientAsyncResponseReader<grpc::ByteBuffer>> reader;
        grpc::ByteBuffer reply;
        grpc::Status status;
    };

    void start(Call &call)
    {
        call.context = std::make_unique<grpc::ClientContext>();
        call.context->set_wait_for_ready(true);
        if (m_compressed)
            call.context->set_compression_algorithm(GRPC_COMPRESS_GZIP);
        call.reader = grpc::GenericStub(call.channel.get()).PrepareUnaryCall(call.context.get(), m_method, m_message, &m_queue);
        call.reader->StartCall();
        call.reader->Finish(&call.reply, &call.status, &call);
    }

    std::string m_method;
    bool m_compressed;
    grpc::ByteBuffer m_message;
    grpc::CompletionQueue m_queue;
    std::vector<std::unique_ptr<Call>> m_calls;
    size_t m_sentBytes = 0;
};

} // namespace roserail::test
