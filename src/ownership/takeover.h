// Deletes the rows of members that have stopped renewing; docs/design.md, section 5.2, steps 1
// to 3.

#pragma once

#include "ownership/directory.h"
#include "ownership/io.h"

#include <functional>
#include <map>
#include <set>

namespace cwl::ownership {

// Votes in this process as the named witness, which may be a former id of this process. Returns
// false if the process was never that witness or must not vote.
using LocalVote = std::function<bool(const MemberId &witness, const MemberId &member,
                                     Revision revision, TimePoint now)>;

class Takeover
{
public:
    // `formerIds` are the ids of earlier incarnations of this process. They are known to be
    // invalid, so their rows are deleted without a fence.
    Takeover(Io &io, Directory &directory, LocalVote vote, const MemberInfo &self,
             const std::set<MemberId> &formerIds);

    void tick(TimePoint now);
    Json::Value state() const;

private:
    struct Attempt
    {
        TimePoint since = {};           // when the row was first found to be expired
        TimePoint nextVoteRequest = {}; // when votes may be requested again
        TimePoint nextDelete = {};
    };
    Duration turnDelay(const MemberId &member) const;
    void evaluate(const MemberId &member, TimePoint now);
    void requestVotes(const MemberId &member, TimePoint now);
    void requestVoteFrom(const MemberId &witness, const MemberId &member, Revision revision);
    void sendVoteRequest(const std::string &address, const MemberId &witness,
                         const MemberId &member, Revision revision);
    void deleteRow(const MemberId &member, const char *reason, TimePoint now);

    Io &m_io;
    Directory &m_directory;
    LocalVote m_localVote;
    const MemberInfo &m_self;
    const std::set<MemberId> &m_formerIds;
    std::map<MemberId, Attempt> m_attempts;
    int64_t m_voteRequests = 0;
    int64_t m_deletes = 0;
};

} // namespace cwl::ownership
