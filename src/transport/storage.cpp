#include "transport/storage.h"

#include "state/invariant.h"

#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <fmt/format.h>
#include <fstream>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>
#include <xxhash.h>

namespace roserail
{

namespace
{

constexpr uint32_t FormatVersion = 1;
constexpr size_t FrameHeaderBytes = 12; // length and checksum
constexpr uint32_t MaxFrameBytes = 1u << 30;

uint64_t checksum(const char *data, uint32_t n)
{
    return XXH64(data, n, n);
}

Error diskError(ErrorKind kind, const std::filesystem::path &path, const std::string &what, const std::string &remedy)
{
    return Error{kind, fmt::format("{}: {}; {}", path.string(), what, remedy)};
}

Error ioError(const std::filesystem::path &path, const char *operation)
{
    const int code = errno;
    const char *remedy = code == ENOSPC || code == EFBIG || code == EDQUOT ? "free space on the disk; the replica then continues by itself"
                                                                           : "check the disk and the folder's permissions";
    return diskError(ErrorKind::DiskFailure, path, fmt::format("{} failed: {}", operation, std::strerror(code)), remedy);
}

Result<std::string> readAll(const std::filesystem::path &path)
{
    std::ifstream in(path, std::ios::binary);
    if (!in)
        return ioError(path, "open");
    std::string bytes((std::istreambuf_iterator<char>(in)), std::istreambuf_iterator<char>());
    return bytes;
}

bool writeAll(int fd, const std::string &bytes)
{
    size_t done = 0;
    while (done < bytes.size()) {
        const ssize_t n = ::write(fd, bytes.data() + done, bytes.size() - done);
        if (n < 0 && errno == EINTR)
            continue;
        if (n < 0)
            return false;
        done += size_t(n);
    }
    return true;
}

Result<void> syncFolder(const std::filesystem::path &folder)
{
    const int fd = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (fd < 0)
        return ioError(folder, "open");
    const bool synced = ::fsync(fd) == 0;
    ::close(fd);
    if (!synced)
        return ioError(folder, "fsync");
    return boost::outcome_v2::success();
}

// Returns the payload size of the frame at `at` if the frame is intact.
std::optional<uint32_t> intactFrame(const std::string &bytes, size_t at)
{
    if (bytes.size() - at < FrameHeaderBytes)
        return std::nullopt;
    uint32_t n = 0;
    uint64_t sum = 0;
    std::memcpy(&n, bytes.data() + at, sizeof n);
    std::memcpy(&sum, bytes.data() + at + sizeof n, sizeof sum);
    if (n == 0 || n > MaxFrameBytes || n > bytes.size() - at - FrameHeaderBytes || checksum(bytes.data() + at + FrameHeaderBytes, n) != sum)
        return std::nullopt;
    return n;
}

bool hasFrameAfter(const std::string &bytes, size_t at)
{
    for (size_t i = at + 1; i + FrameHeaderBytes <= bytes.size(); ++i) {
        if (intactFrame(bytes, i))
            return true;
    }
    return false;
}

} // namespace

std::string encodeFrame(const std::string &payload)
{
    // An empty frame could not be distinguished from zeros at the end of a file.
    invariant(!payload.empty(), "a frame is never empty");
    const uint32_t n = uint32_t(payload.size());
    const uint64_t sum = checksum(payload.data(), n);
    std::string frame(FrameHeaderBytes, '\0');
    std::memcpy(frame.data(), &n, sizeof n);
    std::memcpy(frame.data() + sizeof n, &sum, sizeof sum);
    return frame + payload;
}

Result<DecodedFrames> decodeFrames(const std::string &bytes, const std::string &file)
{
    DecodedFrames frames;
    while (frames.validBytes < bytes.size()) {
        const std::optional<uint32_t> n = intactFrame(bytes, frames.validBytes);
        if (!n)
            break;
        frames.payloads.push_back(bytes.substr(frames.validBytes + FrameHeaderBytes, *n));
        frames.validBytes += FrameHeaderBytes + *n;
    }
    if (hasFrameAfter(bytes, frames.validBytes))
        return Error{
            ErrorKind::DiskDamaged,
            fmt::format(
                "{}: damaged at byte {} with intact records after it; move the data folder away and start the replica with an empty one, "
                "so that it is repaired from the others",
                file, frames.validBytes)};
    return frames;
}

Storage::Storage(std::filesystem::path folder)
    : m_folder(std::move(folder))
{
}

Storage::~Storage()
{
    if (m_logFd >= 0)
        ::close(m_logFd);
    if (m_lockFd >= 0)
        ::close(m_lockFd);
}

void Storage::releaseState()
{
    m_state.entries.clear();
    m_state.snapshot.Clear();
}

std::filesystem::path Storage::logPath(uint64_t index) const
{
    return m_folder / fmt::format("log-{:020}", index);
}

Result<std::unique_ptr<Storage>> Storage::open(const std::filesystem::path &folder, uint64_t replicaId, uint64_t newIncarnation)
{
    std::unique_ptr<Storage> storage(new Storage(folder));
    std::error_code ec;
    std::filesystem::create_directories(folder, ec);
    if (ec)
        return diskError(ErrorKind::DiskFailure, folder, ec.message(), "create the folder or correct 'dataFolder' in the settings");
    BOOST_OUTCOME_TRY(storage->lock());
    BOOST_OUTCOME_TRY(storage->readIdentity(replicaId, newIncarnation));
    BOOST_OUTCOME_TRY(storage->readSnapshot());
    BOOST_OUTCOME_TRY(storage->readLog());
    return storage;
}

Result<void> Storage::lock()
{
    const std::filesystem::path path = m_folder / "lock";
    m_lockFd = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
    if (m_lockFd < 0)
        return ioError(path, "open");
    if (::flock(m_lockFd, LOCK_EX | LOCK_NB) != 0)
        return diskError(ErrorKind::WrongDataFolder, m_folder, "another process uses the data folder",
                         "stop it, or give each replica its own folder");
    return boost::outcome_v2::success();
}

// Replaces a file atomically: after a crash it has either the old or the new content.
Result<void> Storage::writeFile(const std::string &name, const std::string &bytes)
{
    const std::filesystem::path path = m_folder / name;
    const std::filesystem::path temporary = m_folder / (name + ".tmp");
    const int fd = ::open(temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
    if (fd < 0)
        return ioError(temporary, "open");
    const bool written = writeAll(fd, bytes) && ::fsync(fd) == 0;
    const Error failure = written ? Error{} : ioError(temporary, "write");
    ::close(fd);
    if (!written) {
        ::unlink(temporary.c_str());
        return failure;
    }
    ++m_syncs;
    if (::rename(temporary.c_str(), path.c_str()) != 0)
        return ioError(path, "rename");
    return syncFolder(m_folder);
}

Result<void> Storage::readIdentity(uint64_t replicaId, uint64_t newIncarnation)
{
    const std::filesystem::path path = m_folder / "identity";
    const char *const remedy = "set 'dataFolder' to this replica's own folder, or move the folder away to start it as a new replica";
    if (!std::filesystem::exists(path)) {
        if (std::filesystem::exists(m_folder / "snapshot"))
            return diskError(ErrorKind::DiskDamaged, m_folder, "there is a snapshot but no identity file", remedy);
        m_state.identity.set_format_version(FormatVersion);
        *m_state.identity.mutable_identity() = toProto(Replica{replicaId, newIncarnation});
        return writeFile("identity", encodeFrame(m_state.identity.SerializeAsString()));
    }
    BOOST_OUTCOME_TRY(bytes, readAll(path));
    BOOST_OUTCOME_TRY(frames, decodeFrames(bytes, path.string()));
    if (frames.payloads.size() != 1 || !m_state.identity.ParseFromString(frames.payloads[0]))
        return diskError(ErrorKind::WrongDataFolder, path, "not an identity file of roserail", remedy);
    if (m_state.identity.format_version() != FormatVersion)
        return diskError(ErrorKind::WrongDataFolder, path,
                         fmt::format("format version {}, this program reads {}", m_state.identity.format_version(), FormatVersion),
                         "run the version of roserail that wrote it");
    if (m_state.identity.identity().id() != replicaId)
        return diskError(ErrorKind::WrongDataFolder, path,
                         fmt::format("belongs to replica {}, not {}", m_state.identity.identity().id(), replicaId), remedy);
    return boost::outcome_v2::success();
}

Result<void> Storage::setClusterId(uint64_t clusterId)
{
    m_state.identity.set_cluster_id(clusterId);
    return writeFile("identity", encodeFrame(m_state.identity.SerializeAsString()));
}

Result<void> Storage::readSnapshot()
{
    const std::filesystem::path path = m_folder / "snapshot";
    if (!std::filesystem::exists(path))
        return boost::outcome_v2::success();
    BOOST_OUTCOME_TRY(bytes, readAll(path));
    BOOST_OUTCOME_TRY(frames, decodeFrames(bytes, path.string()));
    if (frames.payloads.size() != 1 || frames.validBytes != bytes.size() || !m_state.snapshot.ParseFromString(frames.payloads[0]))
        return diskError(ErrorKind::DiskDamaged, path, "the snapshot is damaged",
                         "move the data folder away and start the replica with an empty one, so that it is repaired from the others");
    return boost::outcome_v2::success();
}

Result<void> Storage::openLog(uint64_t index)
{
    if (m_logFd >= 0)
        ::close(m_logFd);
    const std::filesystem::path path = logPath(index);
    m_logFd = ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    if (m_logFd < 0)
        return ioError(path, "open");
    struct stat info {
    };
    if (::fstat(m_logFd, &info) != 0)
        return ioError(path, "stat");
    m_logBytes = uint64_t(info.st_size);
    return boost::outcome_v2::success();
}

Result<void> Storage::readLog()
{
    const uint64_t base = m_state.snapshot.index();
    const std::filesystem::path path = logPath(base);
    if (base != 0 && !std::filesystem::exists(path))
        return diskError(ErrorKind::DiskDamaged, path, "the log that continues the snapshot is missing",
                         "move the data folder away and start the replica with an empty one, so that it is repaired from the others");
    for (const std::filesystem::directory_entry &it : std::filesystem::directory_iterator(m_folder)) {
        const std::string name = it.path().filename().string();
        if (name.rfind("log-", 0) == 0 && it.path() != path)
            std::filesystem::remove(it.path());
    }
    BOOST_OUTCOME_TRY(openLog(base));
    BOOST_OUTCOME_TRY(bytes, readAll(path));
    BOOST_OUTCOME_TRY(frames, decodeFrames(bytes, path.string()));
    for (const std::string &it : frames.payloads) {
        pb::LogFrame frame;
        if (!frame.ParseFromString(it))
            return diskError(ErrorKind::DiskDamaged, path, "a log record cannot be parsed", "run the version of roserail that wrote it");
        if (frame.has_hard_state())
            m_state.hardState = frame.hard_state();
        if (frame.truncate_from() != 0)
            std::erase_if(m_state.entries, [&](const pb::Entry &entry) { return entry.index() >= frame.truncate_from(); });
        m_state.entries.insert(m_state.entries.end(), frame.entries().begin(), frame.entries().end());
    }
    if (frames.validBytes < bytes.size()) {
        if (::ftruncate(m_logFd, off_t(frames.validBytes)) != 0 || ::fdatasync(m_logFd) != 0)
            return ioError(path, "truncate");
        m_logBytes = frames.validBytes;
    }
    return syncFolder(m_folder);
}

Result<void> Storage::append(const pb::LogFrame &frame)
{
    const std::string bytes = encodeFrame(frame.SerializeAsString());
    const bool durable = writeAll(m_logFd, bytes) && ::fdatasync(m_logFd) == 0;
    if (!durable) {
        const Error failure = ioError(m_folder, "append to the log");
        if (::ftruncate(m_logFd, off_t(m_logBytes)) != 0)
            return ioError(m_folder, "undo of a failed append");
        return failure;
    }
    ++m_syncs;
    m_logBytes += bytes.size();
    return boost::outcome_v2::success();
}

// The new log is durable before the snapshot that it continues.
Result<void> Storage::saveSnapshot(const pb::Snapshot &snapshot, const pb::LogFrame &logTail)
{
    const std::filesystem::path previous = logPath(m_state.snapshot.index());
    const std::filesystem::path next = logPath(snapshot.index());
    BOOST_OUTCOME_TRY(writeFile(next.filename().string(), encodeFrame(logTail.SerializeAsString())));
    BOOST_OUTCOME_TRY(writeFile("snapshot", encodeFrame(snapshot.SerializeAsString())));
    BOOST_OUTCOME_TRY(openLog(snapshot.index()));
    m_state.snapshot.set_index(snapshot.index());
    if (previous != next)
        ::unlink(previous.c_str());
    return boost::outcome_v2::success();
}

} // namespace roserail
