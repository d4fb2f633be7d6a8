// The memory that makes a non-idempotent request run at most once (docs/design.md, section 6).

#pragma once

#include "base/clock.h"
#include "requests/outcome.h"
#include "requests/requestid.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>

namespace cwl::requests {

using Ticket = uint64_t; // names one accepted request within its endpoint group

constexpr Duration idMemory = std::chrono::minutes(10); // an id is remembered until it is this old
constexpr Duration maxClockSkew = seconds(2); // between a caller and an owner, or two owners
// An earlier owner whose clock is ahead by maxClockSkew accepts ids of callers whose clocks are
// ahead of it by as much again.
constexpr Duration maxPredecessorLead = 2 * maxClockSkew;

struct IdMemoryOptions
{
    size_t maxIds = 60000;                    // about 15 MB; further new ids are refused
    size_t maxAnswerBytes = size_t(16) << 20; // of remembered responses; further ones are not kept
    std::optional<UnixMilliseconds> takeover = {}; // empty for the first owner the group ever has
};

class IdMemory
{
public:
    enum class Verdict {
        New,     // may be accepted now
        Running, // accepted earlier and not settled; `ticket` names it
        Settled, // `outcome` is the remembered outcome or a refusal
    };

    struct Check
    {
        Verdict verdict = Verdict::Settled;
        Ticket ticket = 0;          // Running only
        SharedOutcome outcome = {}; // Settled only
    };

    explicit IdMemory(const IdMemoryOptions &options)
        : m_options(options)
    {
    }

    // Judges an id at the time of day `now`. Changes no record of an id that is still remembered.
    Check check(const ParsedRequestId &id, UnixMilliseconds now);

    // Remembers an id that check() found New.
    void accept(const ParsedRequestId &id, Ticket ticket);

    // Remembers the outcome of an accepted id.
    void settle(const ParsedRequestId &id, const SharedOutcome &outcome);

    size_t size() const { return m_records.size(); }
    size_t answerBytes() const { return m_answerBytes; }

private:
    struct Record
    {
        Ticket ticket = 0;
        SharedOutcome outcome = {}; // null while the request runs
        size_t answerBytes = 0;     // counted in m_answerBytes
    };
    using Key = std::pair<UnixMilliseconds, RequestId>; // ordered by age

    void forgetOld();
    bool isOld(UnixMilliseconds time) const;
    bool mayPredate(UnixMilliseconds time) const;
    std::optional<Outcome> refusal(const ParsedRequestId &id, UnixMilliseconds now) const;

    IdMemoryOptions m_options;
    UnixMilliseconds m_latest; // highest time of day seen: a clock that steps back revives no id
    std::map<Key, Record> m_records;
    size_t m_answerBytes = 0;
};

} // namespace cwl::requests
