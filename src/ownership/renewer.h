// Keeps one member's lease: registration, renewal each second, relay through a peer and promises;
// docs/design.md, section 5.1.

#pragma once

#include "ownership/directory.h"
#include "ownership/io.h"
#include "ownership/lease.h"

#include <json/value.h>

#include <string>
#include <vector>

namespace cwl::ownership {

class Renewer
{
public:
    // `self` is read at each renewal, so that a change of readiness is written.
    Renewer(Io &io, const Directory &directory, const MemberInfo &self,
            std::vector<std::string> peers);

    void tick(TimePoint now);

    // Begins no further renewal.
    void stop() { m_isStopped = true; }

    MemberLease &lease() { return m_lease; }
    const MemberLease &lease() const { return m_lease; }
    Json::Value state(TimePoint now) const;

private:
    void begin(TimePoint now);
    MemberSet liveOthers() const;
    bool isWitnessMissing() const; // a live member is named in no possible row
    void attemptDirectly(TimePoint now);
    void directAnswer(const ChangeId &changeId, const absl::StatusOr<Revision> &answer);
    void attemptThroughPeer(TimePoint now);
    void relayAnswer(const ChangeId &changeId, const absl::StatusOr<Json::Value> &answer);
    void finish(const ChangeId &changeId, const absl::StatusOr<Revision> &answer);
    void askPromises(TimePoint now);
    bool isPending(const ChangeId &changeId) const;
    std::string nextPeer();

    Io &m_io;
    const Directory &m_directory;
    const MemberInfo &m_self;
    std::vector<std::string> m_peers; // RPC addresses tried before the members are known
    MemberLease m_lease;
    Json::Value m_row; // content of the pending renewal
    int64_t m_renewals = 0;
    int64_t m_relayed = 0;
    int64_t m_promisesAsked = 0;
    TimePoint m_nextAttempt = {};
    TimePoint m_attemptedAt = {};
    TimePoint m_nextRelay = {};
    TimePoint m_nextPromises = {};
    size_t m_peerIndex = 0;
    bool m_isDirectOpen = false;
    bool m_isStopped = false;
};

} // namespace cwl::ownership
