// Registers one member and renews its lease: every second, through a peer if the store does not
// respond, and by promises of witnesses; docs/design.md, section 5.1.

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
    // `self` is read at each renewal, so a change of readiness is written with the next one.
    Renewer(Io &io, const Directory &directory, const MemberInfo &self,
            std::vector<std::string> peers);

    void tick(TimePoint now);

    // Begins no further renewal.
    void stop() { m_isStopped = true; }

    MemberLease &lease() { return m_lease; }
    const MemberLease &lease() const { return m_lease; }
    Json::Value state(TimePoint now) const;

private:
    void startRenewal(TimePoint now);
    MemberSet otherLiveMembers() const;
    bool isWitnessMissing() const; // some live member is named in no possible row
    void attemptDirectly(TimePoint now);
    void handleDirectResult(const ChangeId &changeId, const absl::StatusOr<Revision> &result);
    void attemptThroughPeer(TimePoint now);
    void handleRelayResponse(const ChangeId &changeId, const absl::StatusOr<Json::Value> &response);
    void completeAttempt(const ChangeId &changeId, const absl::StatusOr<Revision> &result);
    void requestPromises(TimePoint now);
    bool isPending(const ChangeId &changeId) const;
    std::string nextPeer();

    Io &m_io;
    const Directory &m_directory;
    const MemberInfo &m_self;
    std::vector<std::string> m_peers; // RPC addresses to use before the members are known
    MemberLease m_lease;
    Json::Value m_row; // content of the pending renewal
    int64_t m_renewals = 0;
    int64_t m_relayed = 0;
    int64_t m_promiseRequests = 0;
    TimePoint m_nextAttempt = {};
    TimePoint m_attemptedAt = {};
    TimePoint m_nextRelay = {};
    TimePoint m_nextPromiseRequests = {};
    size_t m_peerIndex = 0;
    bool m_isDirectInFlight = false;
    bool m_isStopped = false;
};

} // namespace cwl::ownership
