// Promises and votes that a member has granted as a witness of other members; docs/design.md,
// section 5.2. They are held in memory only: a restarted process is a different member.

#pragma once

#include "base/clock.h"
#include "base/strongid.h"
#include "base/units.h"

#include <map>
#include <utility>

namespace cwl::ownership {

class Witness
{
public:
    // `self` is the member id under which promises and votes are granted.
    explicit Witness(MemberId self)
        : m_self(std::move(self))
    {
    }

    // Grants a promise not to vote for a takeover of `member` for promiseLease from `now`. Returns
    // false if a vote at this or a higher revision was granted. `witnessId` is the member id that
    // the request is addressed to; a request to an earlier run of this process is rejected.
    bool promise(const MemberId &witnessId, const MemberId &member, Revision revision,
                 TimePoint now);

    // Grants a vote to delete `member` at `revision`. Returns false if there is an unexpired
    // promise at this or a lower revision, or if `witnessId` is not this member's id.
    bool vote(const MemberId &witnessId, const MemberId &member, Revision revision, TimePoint now);

    // Drops expired promises and obsolete votes. `rows` holds the revisions of all member rows just
    // read. A vote is obsolete once the row is gone or has a higher revision than the vote.
    void prune(const std::map<MemberId, Revision> &rows, TimePoint now);

    size_t promiseCount() const { return m_promises.size(); }
    size_t voteCount() const { return m_votes.size(); }

private:
    struct Promise
    {
        Revision lowestRevision; // of the unexpired promises
        TimePoint expiresAt = {};
    };

    MemberId m_self;
    std::map<MemberId, Promise> m_promises;
    std::map<MemberId, Revision> m_votes; // highest revision voted on
};

} // namespace cwl::ownership
