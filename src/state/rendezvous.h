// Rendezvous hashing: each of many processes orders the same things differently, but always in the same way.
#pragma once

#include <cstdint>
#include <string>
#include <xxhash.h>

namespace roserail
{

// Returns the position of a thing in the order of one process.
inline uint64_t rendezvousRank(const std::string &process, const std::string &thing)
{
    return XXH3_64bits_withSeed(thing.data(), thing.size(), XXH3_64bits(process.data(), process.size()));
}

} // namespace roserail
