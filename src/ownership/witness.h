// What a member remembers as a witness of others: promises given and votes given; docs/design.md,
// section 5.2. It is kept in memory only: a restarted process is a different member.

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
    // `self` is the member id under which promises and votes count.
    explicit Witness(MemberId self)
        : m_self(std::move(self))
    {
    }

    // Grants a promise not to vote for a takeover of `member` for promiseLease from `now`, or
    // refuses (false) because a vote at this revision or a higher one was given. `asked` is the
    // member id that the request was meant for; a request to an earlier run of this process is
    // refused.
    bool promise(const MemberId &asked, const MemberId &member, Revision revision, TimePoint now);

    // Grants a vote to delete `member` at `revision`, or refuses (false) because of an unexpired
    // promise at this revision or a lower one.
    bool vote(const MemberId &asked, const MemberId &member, Revision revision, TimePoint now);

    // Drops what cannot matter any more. `rows` are the revisions of all member rows as just
    // read. A vote matters until the row is gone or has moved past the revision voted on.
    void forget(const std::map<MemberId, Revision> &rows, TimePoint now);

    size_t promiseCount() const { return m_promises.size(); }
    size_t voteCount() const { return m_votes.size(); }

private:
    struct Promise
    {
        Revision lowest; // among the unexpired promises
        TimePoint until = {};
    };

    MemberId m_self;
    std::map<MemberId, Promise> m_promises;
    std::map<MemberId, Revision> m_votes; // highest revision voted on
};

} // namespace cwl::ownership
