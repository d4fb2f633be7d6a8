// Deletes the rows of members that have stopped renewing; docs/design.md, section 5.2, steps 1
// to 3.

#pragma once

#include "ownership/directory.h"
#include "ownership/io.h"

#include <functional>
#include <map>
#include <set>

namespace cwl::ownership {

// Votes in this process as the named witness, which may be an id of its own that has lapsed; false
// if the process was never that witness or must not vote.
using Vote = std::function<bool(const MemberId &witness, const MemberId &member, Revision revision,
                                TimePoint now)>;

class Takeover
{
public:
    // `former` are the ids of earlier incarnations of this process: they are known to be invalid,
    // so their rows are deleted without a fence.
    Takeover(Io &io, Directory &directory, Vote vote, const MemberInfo &self,
             const std::set<MemberId> &former);

    void tick(TimePoint now);
    Json::Value state() const;

private:
    struct Attempt
    {
        TimePoint since = {};     // when the row was first seen to be lapsed
        TimePoint nextVotes = {}; // when votes may be asked for again
        TimePoint nextDelete = {};
    };
    Duration turnDelay(const MemberId &member) const;
    void consider(const MemberId &member, TimePoint now);
    void askVotes(const MemberId &member, TimePoint now);
    void askVoteOf(const MemberId &witness, const MemberId &member, Revision revision);
    void sendVoteRequest(const std::string &address, const MemberId &witness,
                         const MemberId &member, Revision revision);
    void remove(const MemberId &member, const char *reason, TimePoint now);

    Io &m_io;
    Directory &m_directory;
    Vote m_vote;
    const MemberInfo &m_self;
    const std::set<MemberId> &m_former;
    std::map<MemberId, Attempt> m_attempts;
    int64_t m_votesAsked = 0;
    int64_t m_deletes = 0;
};

} // namespace cwl::ownership
