// Pairs of connected TCP sockets within the process. Platforms that simulate the network have no other ones.
#pragma once

#include <array>
#include <optional>

namespace roserail
{

class LoopbackPairs
{
public:
    // `bufferBytes`: of what may wait in each direction of a pair; the system permits twice as many.
    explicit LoopbackPairs(int bufferBytes);
    ~LoopbackPairs();
    LoopbackPairs(const LoopbackPairs &) = delete;
    LoopbackPairs &operator=(const LoopbackPairs &) = delete;

    // Returns two descriptors that don't block, or nothing, with errno set.
    std::optional<std::array<int, 2>> open();

private:
    int acceptFrom(int socket) const;

    const int m_bufferBytes;
    int m_listener;
};

} // namespace roserail
