// Pairs of connected TCP sockets within the process. Platforms that simulate the network have no other ones.
#pragma once

#include <array>
#include <optional>

namespace roserail
{

class LoopbackPairs
{
public:
    LoopbackPairs();
    ~LoopbackPairs();
    LoopbackPairs(const LoopbackPairs &) = delete;
    LoopbackPairs &operator=(const LoopbackPairs &) = delete;

    // Returns two descriptors that don't block, or nothing, with errno set. `bufferBytes`: of what may wait in each direction; the
    // system permits twice as many.
    std::optional<std::array<int, 2>> open(int bufferBytes);

private:
    int acceptFrom(int socket) const;

    int m_listener;
};

} // namespace roserail
