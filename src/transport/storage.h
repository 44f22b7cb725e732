// A control replica's data folder: identity, snapshot and log. Data counts as stored only once it is synced.
//
// Files: `identity`, `snapshot`, `log-<index of the snapshot it continues>`, `lock`. All are sequences of frames:
// length (4 bytes), XXH64 (8 bytes), payload. One frame of the log is what one fdatasync makes durable, so that
// only the last frame can be torn.
#pragma once

#include "coordination/raft.h"
#include "state/errors.h"

#include <filesystem>
#include <memory>

namespace roserail
{

std::string encodeFrame(const std::string &payload);

// The intact frames at the start of a file.
struct DecodedFrames {
    std::vector<std::string> payloads;
    size_t validBytes = 0; // if the file is longer, the rest is a torn frame
};

// Splits the bytes of a file into frames. A torn last frame is omitted; damage before intact frames is an error.
Result<DecodedFrames> decodeFrames(const std::string &bytes, const std::string &file);

class Storage
{
public:
    // Opens the folder, or creates one that belongs to no cluster yet. `newIncarnation` is used only for a new one.
    static Result<std::unique_ptr<Storage>> open(const std::filesystem::path &folder, uint64_t replicaId, uint64_t newIncarnation);
    ~Storage();
    Storage(const Storage &) = delete;
    Storage &operator=(const Storage &) = delete;

    // Returns the state that was durable when the folder was opened.
    const DurableState &state() const
    {
        return m_state;
    }
    // Frees the log entries and the snapshot in that state.
    void releaseState();

    // Records the cluster that the replica belongs to.
    Result<void> setClusterId(uint64_t clusterId);
    // Appends one frame and syncs it. After an error the log contains no part of it.
    Result<void> append(const pb::LogFrame &frame);
    // Replaces the snapshot, and the log by one frame: the hard state and the entries after the snapshot.
    Result<void> saveSnapshot(const pb::Snapshot &snapshot, const pb::LogFrame &logTail);

    uint64_t syncs() const
    {
        return m_syncs;
    }
    uint64_t logBytes() const
    {
        return m_logBytes;
    }

private:
    explicit Storage(std::filesystem::path folder);
    Result<void> lock();
    Result<void> readIdentity(uint64_t replicaId, uint64_t newIncarnation);
    Result<void> readSnapshot();
    Result<void> readLog();
    Result<void> openLog(uint64_t index);
    Result<void> writeFile(const std::string &name, const std::string &bytes);
    std::filesystem::path logPath(uint64_t index) const;

    std::filesystem::path m_folder;
    DurableState m_state;
    int m_lockFd = -1;
    int m_logFd = -1;
    uint64_t m_logBytes = 0;
    uint64_t m_syncs = 0;
};

} // namespace roserail
