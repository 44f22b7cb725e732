#include "state/configurationdelta.h"

#include "state/invariant.h"

#include <algorithm>
#include <google/protobuf/io/gzip_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>
#include <xxhash.h>

namespace roserail
{

namespace
{

constexpr size_t MaxPreviousVersions = 8; // a host that lags further behind receives the whole configuration

std::string encode(const pb::ConfigurationUpdate &update)
{
    std::string bytes;
    google::protobuf::io::StringOutputStream output(&bytes);
    google::protobuf::io::GzipOutputStream zipped(&output);
    invariant(update.SerializeToZeroCopyStream(&zipped) && zipped.Close(), "an update can be encoded");
    return bytes;
}

} // namespace

uint64_t contentChecksum(const std::string &content)
{
    return XXH3_64bits(content.data(), content.size());
}

pb::ConfigurationDelta makeDelta(const pb::WholeConfiguration &base, const pb::WholeConfiguration &target)
{
    const std::string &from = base.content();
    const std::string &to = target.content();
    const size_t shorter = std::min(from.size(), to.size());
    const size_t prefix = size_t(std::mismatch(from.begin(), from.begin() + std::ptrdiff_t(shorter), to.begin()).first - from.begin());
    const size_t rest = shorter - prefix;
    const size_t suffix = size_t(std::mismatch(from.rbegin(), from.rbegin() + std::ptrdiff_t(rest), to.rbegin()).first - from.rbegin());
    pb::ConfigurationDelta delta;
    delta.set_base(base.version());
    delta.set_version(target.version());
    delta.set_prefix(prefix);
    delta.set_suffix(suffix);
    delta.set_middle(to.substr(prefix, to.size() - prefix - suffix));
    delta.set_checksum(contentChecksum(to));
    return delta;
}

std::optional<pb::WholeConfiguration> applyDelta(const pb::WholeConfiguration &base, const pb::ConfigurationDelta &delta)
{
    const std::string &from = base.content();
    if (delta.base() != base.version() || delta.prefix() > from.size() || delta.suffix() > from.size() - delta.prefix())
        return std::nullopt;
    pb::WholeConfiguration result;
    result.set_version(delta.version());
    std::string &content = *result.mutable_content();
    content.reserve(delta.prefix() + delta.middle().size() + delta.suffix());
    content.append(from, 0, delta.prefix());
    content.append(delta.middle());
    content.append(from, from.size() - delta.suffix(), delta.suffix());
    if (contentChecksum(content) != delta.checksum())
        return std::nullopt;
    return result;
}

bool ConfigurationHistory::merge(const pb::WholeConfiguration &configuration)
{
    if (configuration.version() <= m_latest.version())
        return false;
    if (m_latest.version() != 0)
        m_previous.push_back(std::move(m_latest));
    if (m_previous.size() > MaxPreviousVersions)
        m_previous.pop_front();
    m_latest = configuration;
    m_deltas.clear();
    m_encoded.clear();
    for (const pb::WholeConfiguration &it : m_previous)
        m_deltas.push_back(makeDelta(it, m_latest));
    return true;
}

const EncodedUpdate &ConfigurationHistory::encodedUpdate(uint64_t known)
{
    const pb::ConfigurationDelta *delta = deltaFrom(known);
    EncodedUpdate &result = m_encoded[delta == nullptr ? 0 : known];
    if (!result.bytes.empty())
        return result;
    pb::ConfigurationUpdate update;
    if (delta == nullptr)
        *update.mutable_whole() = m_latest;
    else
        *update.mutable_delta() = *delta;
    result.base = delta == nullptr ? 0 : known;
    result.bytes = encode(update);
    result.checksum = contentChecksum(result.bytes);
    return result;
}

const pb::ConfigurationDelta *ConfigurationHistory::deltaFrom(uint64_t version) const
{
    const auto it
        = std::find_if(m_deltas.begin(), m_deltas.end(), [&](const pb::ConfigurationDelta &delta) { return delta.base() == version; });
    return it == m_deltas.end() ? nullptr : &*it;
}

} // namespace roserail
