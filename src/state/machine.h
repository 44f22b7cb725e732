// The replicated state machine: applies committed commands deterministically on every replica.
#pragma once

#include "state/claims.h"
#include "state/document.h"
#include "state/ledger.h"
#include "state/quarantine.h"
#include "state/recordedstreams.h"

#include <deque>

namespace roserail
{

class StateMachine
{
public:
    pb::CommandResult apply(const pb::Command &command);

    pb::MachineState save() const;
    void restore(const pb::MachineState &state);

    const Document &document() const
    {
        return m_document;
    }
    Revision revision() const
    {
        return Revision(m_revision);
    }
    const std::map<std::string, pb::Section> &sections() const
    {
        return m_sections;
    }
    const std::map<std::string, SectionContent> &contents() const
    {
        return m_contents;
    }
    // The configuration that is replaced as a whole; version 0 before the first one.
    const pb::WholeConfiguration &configuration() const
    {
        return m_configuration;
    }
    // The versions that began recent streams.
    const RecordedStreams &streams() const
    {
        return m_streams;
    }
    // The versions of endpoints' software that serve, or served a short time ago.
    const pb::RecordSoftware &software() const
    {
        return m_software;
    }
    const Ledger &ledger() const
    {
        return m_ledger;
    }
    const Claims &claims() const
    {
        return m_claims;
    }
    const Quarantine &quarantine() const
    {
        return m_quarantine;
    }
    // The latest wall-clock time that a leader has proposed.
    WallTime clock() const
    {
        return m_clock;
    }

private:
    pb::CommandResult changeDocument(const pb::Command &command);
    pb::CommandResult startClaim(const pb::Command &command);
    pb::CommandResult finishClaim(const pb::Command &command);
    pb::CommandResult registerEndpoint(const pb::Command &command);
    pb::CommandResult forgetEndpoint(const pb::Command &command);
    pb::CommandResult reserveSlot(const pb::Command &command);
    pb::CommandResult sendOrder(const pb::Command &command);
    pb::CommandResult answerOrder(const pb::Command &command);
    pb::CommandResult releaseSlot(const pb::Command &command);
    pb::CommandResult reportCrash(const pb::Command &command);
    pb::CommandResult putConfiguration(const pb::Command &command);
    pb::CommandResult recordSoftware(const pb::Command &command);
    pb::CommandResult recordStreams(const pb::Command &command);
    // Records the result of a change, so that a repetition of it gets the same result.
    void recordChange(const pb::ChangeDocument &change, const pb::CommandResult &result);

    WallTime m_clock{};
    uint64_t m_revision = 0;
    std::map<std::string, pb::Section> m_sections;
    std::map<std::string, SectionContent> m_contents; // parsed, by section
    Document m_document;
    std::map<std::string, pb::ChangeRecord> m_changes; // by change id
    std::deque<std::string> m_changeOrder; // oldest first
    pb::WholeConfiguration m_configuration;
    pb::RecordSoftware m_software;
    RecordedStreams m_streams;
    Ledger m_ledger;
    Claims m_claims;
    Quarantine m_quarantine;
};

// Validates a change against the current sections and returns the document that would result.
Result<Document> checkChange(const std::map<std::string, SectionContent> &sections, const std::vector<FileSection> &change);

} // namespace roserail
