#include "state/configurationtransfer.h"

#include "state/tunables.h"

#include <google/protobuf/io/gzip_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>

namespace roserail
{

using namespace tunables;

namespace
{

std::optional<pb::ConfigurationUpdate> decodeUpdate(const std::string &bytes)
{
    google::protobuf::io::ArrayInputStream input(bytes.data(), int(bytes.size()));
    google::protobuf::io::GzipInputStream unzipped(&input);
    pb::ConfigurationUpdate update;
    if (!update.ParseFromZeroCopyStream(&unzipped) || update.body_case() == pb::ConfigurationUpdate::BODY_NOT_SET)
        return std::nullopt;
    return update;
}

bool sameUpdate(const pb::ConfigurationProgress &progress, const pb::ConfigurationPiece &piece)
{
    return progress.base() == piece.base() && progress.version() == piece.version() && progress.checksum() == piece.checksum();
}

} // namespace

void addNextPiece(ConfigurationHistory &history, uint64_t known, const pb::ConfigurationProgress &progress, pb::ConfigurationPiece &out)
{
    const EncodedUpdate &update = history.encodedUpdate(known);
    out.set_base(update.base);
    out.set_version(history.latest().version());
    out.set_size(update.bytes.size());
    out.set_checksum(update.checksum);
    const size_t offset = sameUpdate(progress, out) && progress.received() < update.bytes.size() ? progress.received() : 0;
    out.set_offset(offset);
    out.set_content(update.bytes.substr(offset, MaxConfigurationPieceBytes));
}

std::optional<pb::ConfigurationUpdate> ConfigurationReceiver::add(const pb::ConfigurationPiece &piece)
{
    if (!sameUpdate(m_progress, piece)) {
        m_progress.Clear();
        m_progress.set_base(piece.base());
        m_progress.set_version(piece.version());
        m_progress.set_checksum(piece.checksum());
        m_bytes.clear();
    }
    if (piece.offset() != m_bytes.size())
        return std::nullopt;
    m_bytes += piece.content();
    m_progress.set_received(m_bytes.size());
    if (m_bytes.size() < piece.size())
        return std::nullopt;
    std::optional<pb::ConfigurationUpdate> update;
    if (m_bytes.size() == piece.size() && contentChecksum(m_bytes) == piece.checksum())
        update = decodeUpdate(m_bytes);
    m_progress.Clear();
    m_bytes.clear();
    return update;
}

} // namespace roserail
