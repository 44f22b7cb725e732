#include "coordination/ingressbudget.h"

#include "state/tunables.h"

#include <algorithm>

namespace roserail
{

using namespace tunables;

namespace
{

size_t share(Bytes memory, double part)
{
    return size_t(double(memory) * part);
}

// Returns how many of the descriptors can be used, with room for the unread bytes of as many connections.
uint32_t usableDescriptors(Bytes memory, uint32_t descriptors)
{
    return uint32_t(std::min<size_t>(descriptors, share(memory, SocketsMemoryShare) / MinUnreadBytes));
}

double rate(const Transfer &transfer, Time now)
{
    return double(transfer.bytes) / double(std::max<int64_t>(1, (now - transfer.startedAt).count()));
}

} // namespace

IngressBudget::IngressBudget(Bytes memory, uint32_t maxDescriptors)
    : buffers(share(memory, BuffersMemoryShare), share(memory, SmallCallsMemoryShare), SmallBufferBytes)
    , heads(share(memory, HeadsMemoryShare), 0, 0, &buffers)
    , bodies(share(memory, BodiesMemoryShare), share(memory, BodiesMemoryShare * SmallBufferReserve), SmallBufferBytes, &buffers)
    , answers(share(memory, AnswersMemoryShare), share(memory, AnswersMemoryShare * SmallBufferReserve), SmallBufferBytes, &buffers)
    , sockets(share(memory, SocketsMemoryShare) - usableDescriptors(memory, maxDescriptors) * MinUnreadBytes)
    , messages(share(memory, CopiesOfMessage * MessageMemoryShare + 2 * SmallCallsMemoryShare), share(memory, SmallCallsMemoryShare),
               SmallBufferBytes, &buffers)
    , descriptors(usableDescriptors(memory, maxDescriptors))
    , maxMessageBytes(share(memory, MessageMemoryShare))
{
}

size_t unreadBytesForConnection(const BufferQuota &sockets)
{
    const size_t left = sockets.totalBytes() - std::min(sockets.totalBytes(), sockets.usedBytes());
    return std::min(MaxUnreadBytes - MinUnreadBytes, left / SocketBufferParts);
}

bool isStalled(const Transfer &transfer, Time now)
{
    return now - transfer.startedAt >= TransferGrace && rate(transfer, now) < MinTransferBytesPerMs;
}

std::optional<size_t> slowestTransfer(const std::vector<Transfer> &transfers, Time now)
{
    std::optional<size_t> slowest;
    for (size_t i = 0; i < transfers.size(); ++i) {
        if (!isStalled(transfers[i], now))
            continue;
        const bool slower = slowest && rate(transfers[i], now) < rate(transfers[*slowest], now);
        const bool older = slowest && rate(transfers[i], now) == rate(transfers[*slowest], now)
            && transfers[i].startedAt < transfers[*slowest].startedAt;
        if (!slowest || slower || older)
            slowest = i;
    }
    return slowest;
}

Millis roomExpectedIn(const std::vector<Transfer> &transfers, Time now)
{
    Millis earliest = TransferGrace;
    for (const Transfer &it : transfers)
        earliest = std::min(earliest, Millis(std::max<Millis>(Millis(0), it.startedAt + TransferGrace - now)));
    return std::max(earliest, MinRetryAfter);
}

} // namespace roserail
