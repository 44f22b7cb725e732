#include "state/machine.h"

#include "state/invariant.h"
#include "state/tunables.h"

#include <array>
#include <fmt/format.h>
#include <xxhash.h>

namespace roserail
{

using namespace tunables;

namespace
{

pb::CommandResult refuse(pb::Verdict verdict, const std::string &message)
{
    pb::CommandResult result;
    result.set_verdict(verdict);
    result.set_message(message);
    return result;
}

pb::CommandResult toResult(const LedgerResult &ledger)
{
    pb::CommandResult result = refuse(ledger.verdict, ledger.message);
    result.set_slot(ledger.slot.value());
    result.set_fence(ledger.fence.value());
    return result;
}

uint64_t contentHash(const pb::ChangeDocument &change)
{
    std::string bytes;
    for (const pb::SectionChange &it : change.sections())
        bytes += it.SerializeAsString();
    return XXH64(bytes.data(), bytes.size(), 0);
}

Result<Document> mergeContents(const std::map<std::string, SectionContent> &sections)
{
    std::vector<SectionContent> contents;
    for (const std::pair<const std::string, SectionContent> &it : sections)
        contents.push_back(it.second);
    return mergeSections(contents);
}

} // namespace

Result<Document> checkChange(const std::map<std::string, SectionContent> &sections, const std::vector<FileSection> &change)
{
    std::map<std::string, SectionContent> contents = sections;
    std::set<std::string> changed;
    for (const FileSection &it : change) {
        changed.insert(it.name);
        if (it.remove)
            contents.erase(it.name);
        else
            contents[it.name] = it.content;
    }
    std::vector<SectionContent> all;
    for (const std::pair<const std::string, SectionContent> &it : contents)
        all.push_back(it.second);
    BOOST_OUTCOME_TRY(checkTokens(all, changed));
    return mergeSections(all);
}

pb::CommandResult StateMachine::apply(const pb::Command &command)
{
    using Apply = pb::CommandResult (StateMachine::*)(const pb::Command &);
    struct Row {
        pb::Command::BodyCase body;
        Apply apply;
    };
    static constexpr std::array table{
        Row{pb::Command::kChangeDocument, &StateMachine::changeDocument},
        Row{pb::Command::kStartClaim, &StateMachine::startClaim},
        Row{pb::Command::kFinishClaim, &StateMachine::finishClaim},
        Row{pb::Command::kRegisterEndpoint, &StateMachine::registerEndpoint},
        Row{pb::Command::kForgetEndpoint, &StateMachine::forgetEndpoint},
        Row{pb::Command::kReserveSlot, &StateMachine::reserveSlot},
        Row{pb::Command::kSendOrder, &StateMachine::sendOrder},
        Row{pb::Command::kAnswerOrder, &StateMachine::answerOrder},
        Row{pb::Command::kReleaseSlot, &StateMachine::releaseSlot},
        Row{pb::Command::kReportCrash, &StateMachine::reportCrash},
        Row{pb::Command::kPutConfiguration, &StateMachine::putConfiguration},
        Row{pb::Command::kRecordSoftware, &StateMachine::recordSoftware},
        Row{pb::Command::kRecordStreams, &StateMachine::recordStreams},
    };
    m_clock = std::max(m_clock, WallTime(Millis(int64_t(command.wall_ms()))));
    m_claims.expire(m_clock);
    m_quarantine.expire(m_clock);
    for (const Row &it : table) {
        if (it.body == command.body_case())
            return (this->*it.apply)(command);
    }
    return refuse(pb::VERDICT_INVALID, "this version does not know the command; upgrade every replica before using it");
}

// Compare-and-set on each section's revision. A repeated change id gets the result of its first use.
pb::CommandResult StateMachine::changeDocument(const pb::Command &command)
{
    const pb::ChangeDocument &change = command.change_document();
    const auto seen = m_changes.find(change.change_id());
    if (seen != m_changes.end()) {
        if (seen->second.content_hash() != contentHash(change))
            return refuse(pb::VERDICT_CONFLICT,
                          fmt::format("change id '{}' was already used for another change; use a new one", change.change_id()));
        return seen->second.result();
    }
    std::map<std::string, SectionContent> contents = m_contents;
    for (const pb::SectionChange &it : change.sections()) {
        const auto current = m_sections.find(it.name());
        const uint64_t revision = current == m_sections.end() ? 0 : current->second.revision();
        if (revision != it.base_revision()) {
            const std::string changedBy = current == m_sections.end() ? "(none)" : current->second.changed_by();
            const std::string id = current == m_sections.end() ? "" : current->second.change_id();
            return refuse(
                pb::VERDICT_CONFLICT,
                fmt::format(
                    "section '{}' is at revision {}, not {}: last changed by '{}' with change id '{}'; get it, merge and apply again",
                    it.name(), revision, it.base_revision(), changedBy, id));
        }
        if (it.remove()) {
            contents.erase(it.name());
            continue;
        }
        Result<SectionContent> content = parseSection(it.name(), it.text());
        if (content.has_error())
            return refuse(pb::VERDICT_INVALID, content.error().message);
        contents[it.name()] = std::move(content.value());
    }
    Result<Document> document = mergeContents(contents);
    if (document.has_error())
        return refuse(pb::VERDICT_INVALID, document.error().message);
    const uint64_t before = m_revision;
    ++m_revision;
    for (const pb::SectionChange &it : change.sections()) {
        if (it.remove()) {
            m_sections.erase(it.name());
            continue;
        }
        pb::Section &section = m_sections[it.name()];
        section.set_name(it.name());
        section.set_revision(m_revision);
        section.set_text(it.text());
        section.set_changed_by(change.operator_name());
        section.set_change_id(change.change_id());
    }
    m_contents = std::move(contents);
    m_document = std::move(document.value());
    invariant(m_revision > before, "the document's revision never decreases");
    pb::CommandResult result;
    result.set_revision(m_revision);
    recordChange(change, result);
    return result;
}

void StateMachine::recordChange(const pb::ChangeDocument &change, const pb::CommandResult &result)
{
    pb::ChangeRecord record;
    record.set_change_id(change.change_id());
    *record.mutable_result() = result;
    record.set_content_hash(contentHash(change));
    m_changes[change.change_id()] = std::move(record);
    m_changeOrder.push_back(change.change_id());
    if (m_changeOrder.size() <= MaxChangeRecords)
        return;
    m_changes.erase(m_changeOrder.front());
    m_changeOrder.pop_front();
}

pb::CommandResult StateMachine::startClaim(const pb::Command &command)
{
    return m_claims.start(command.start_claim(), m_clock);
}

pb::CommandResult StateMachine::finishClaim(const pb::Command &command)
{
    return m_claims.finish(command.finish_claim());
}

pb::CommandResult StateMachine::registerEndpoint(const pb::Command &command)
{
    const pb::RegisterEndpoint &it = command.register_endpoint();
    return toResult(m_ledger.registerEndpoint(EndpointRecord{EndpointId(it.endpoint()), it.incarnation(), HostId(it.host()),
                                                             it.host_bytes(), it.endpoint_bytes(), it.checks_fencing()}));
}

pb::CommandResult StateMachine::forgetEndpoint(const pb::Command &command)
{
    const pb::ForgetEndpoint &it = command.forget_endpoint();
    if (it.incarnation() != 0)
        return toResult(m_ledger.endIncarnation(EndpointId(it.endpoint()), it.incarnation()));
    return toResult(m_ledger.forgetEndpoint(EndpointId(it.endpoint())));
}

pb::CommandResult StateMachine::reserveSlot(const pb::Command &command)
{
    const pb::ReserveSlot &it = command.reserve_slot();
    const Artifact *artifact = m_document.artifact(ArtifactId(it.artifact()));
    if (artifact == nullptr || artifact->version != it.version())
        return refuse(pb::VERDICT_STALE, "the document does not contain this version of the artifact");
    return toResult(m_ledger.reserve(EndpointId(it.endpoint()), it.incarnation(), *artifact));
}

pb::CommandResult StateMachine::sendOrder(const pb::Command &command)
{
    const OrderKind kind = command.send_order().kind() == pb::ORDER_LOAD ? OrderKind::Load : OrderKind::Unload;
    return toResult(m_ledger.sendOrder(SlotId(command.send_order().slot()), kind));
}

pb::CommandResult StateMachine::answerOrder(const pb::Command &command)
{
    return toResult(m_ledger.answerOrder(SlotId(command.answer_order().slot()), Fence(command.answer_order().fence()),
                                         command.answer_order().sequence()));
}

pb::CommandResult StateMachine::releaseSlot(const pb::Command &command)
{
    return toResult(m_ledger.release(SlotId(command.release_slot().slot()), Fence(command.release_slot().reported_fence()),
                                     command.release_slot().sequence()));
}

pb::CommandResult StateMachine::reportCrash(const pb::Command &command)
{
    return m_quarantine.report(command.report_crash(), m_clock);
}

pb::CommandResult StateMachine::recordSoftware(const pb::Command &command)
{
    m_software = command.record_software();
    return pb::CommandResult();
}

pb::CommandResult StateMachine::recordStreams(const pb::Command &command)
{
    m_streams.apply(command.record_streams());
    return pb::CommandResult();
}

// Keeps the highest version. Any other version changes nothing, so that a change can safely be sent again.
pb::CommandResult StateMachine::putConfiguration(const pb::Command &command)
{
    const pb::WholeConfiguration &sent = command.put_configuration().configuration();
    if (sent.version() > m_configuration.version())
        m_configuration = sent;
    pb::CommandResult result;
    result.set_revision(m_configuration.version());
    return result;
}

pb::MachineState StateMachine::save() const
{
    pb::MachineState state;
    state.set_clock_ms(uint64_t(m_clock.time_since_epoch().count()));
    state.set_revision(m_revision);
    for (const std::pair<const std::string, pb::Section> &it : m_sections)
        *state.add_sections() = it.second;
    for (const std::string &it : m_changeOrder)
        *state.add_changes() = m_changes.at(it);
    *state.mutable_configuration() = m_configuration;
    *state.mutable_software() = m_software;
    m_streams.save(state);
    m_ledger.save(state);
    m_claims.save(state);
    m_quarantine.save(state);
    return state;
}

void StateMachine::restore(const pb::MachineState &state)
{
    invariant(state.revision() >= m_revision, "a snapshot never reverts the document to an earlier revision");
    invariant(state.configuration().version() >= m_configuration.version(),
              "a snapshot never reverts the configuration to an earlier version");
    *this = StateMachine();
    m_clock = WallTime(Millis(int64_t(state.clock_ms())));
    m_revision = state.revision();
    for (const pb::Section &it : state.sections()) {
        m_sections[it.name()] = it;
        Result<SectionContent> content = parseSection(it.name(), it.text());
        invariant(content.has_value(), "a stored section parses");
        m_contents[it.name()] = std::move(content.value());
    }
    Result<Document> document = mergeContents(m_contents);
    invariant(document.has_value(), "the stored document is valid");
    m_document = std::move(document.value());
    for (const pb::ChangeRecord &it : state.changes()) {
        m_changes[it.change_id()] = it;
        m_changeOrder.push_back(it.change_id());
    }
    m_configuration = state.configuration();
    m_software = state.software();
    m_streams.restore(state);
    m_ledger.restore(state);
    m_claims.restore(state);
    m_quarantine.restore(state);
}

} // namespace roserail
