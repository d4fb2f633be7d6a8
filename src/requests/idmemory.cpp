#include "requests/idmemory.h"

#include <algorithm>
#include <memory>

namespace cwl::requests {

namespace {

constexpr int64_t inMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<milliseconds>(duration).count();
}

constexpr int64_t fullRetryAfterMs = 5000; // records leave as they age, so soon is pointless

Outcome idFromFuture(const ParsedRequestId &id, UnixMilliseconds now)
{
    return Outcome::notRun(makeError(
            Failure::IdFromFuture,
            "the time of Request-Id '" + id.id.value() + "' is "
                    + std::to_string(id.time.value() - now.value()) + " ms ahead of the owner",
            {.field = "Request-Id",
             .limit = std::to_string(inMilliseconds(maxClockSkew)) + " ms"}));
}

Outcome idPredatesOwner(const ParsedRequestId &id, const std::string &reason)
{
    return Outcome::unknown(makeError(Failure::IdPredatesOwner,
                                      "Request-Id '" + id.id.value() + "' " + reason
                                              + ", so an earlier owner may have run it",
                                      {.field = "Request-Id"}));
}

Outcome memoryFull(size_t limit)
{
    return Outcome::notRun(makeError(Failure::QueueFull,
                                     "the memory of non-idempotent request ids is full",
                                     {.field = "Request-Id",
                                      .limit = std::to_string(limit) + " ids",
                                      .retryAfterMs = fullRetryAfterMs}));
}

// Stands for a response that was too large to keep: the repeat is told that the request may have
// run.
SharedOutcome withoutBody()
{
    return std::make_shared<const Outcome>(Outcome::unknown(
            makeError(Failure::AnswerTruncated,
                      "the request was answered, but its response is no longer kept",
                      {.field = "Request-Id"})));
}

} // namespace

IdMemory::Check IdMemory::check(const ParsedRequestId &id, UnixMilliseconds now)
{
    m_latest = std::max(m_latest, now);
    forgetOld();
    const auto found = m_records.find(Key(id.time, id.id));
    if (found != m_records.end()) {
        const Record &record = found->second;
        if (record.outcome)
            return {.verdict = Verdict::Settled, .outcome = record.outcome};
        return {.verdict = Verdict::Running, .ticket = record.ticket};
    }
    std::optional<Outcome> refused = refusal(id, now);
    if (refused)
        return {.verdict = Verdict::Settled,
                .outcome = std::make_shared<const Outcome>(*std::move(refused))};
    return {.verdict = Verdict::New};
}

void IdMemory::accept(const ParsedRequestId &id, Ticket ticket)
{
    m_records[Key(id.time, id.id)] = Record{.ticket = ticket};
}

void IdMemory::settle(const ParsedRequestId &id, const SharedOutcome &outcome)
{
    const auto found = m_records.find(Key(id.time, id.id));
    if (found == m_records.end())
        return;
    Record &record = found->second;
    const size_t bytes = outcome->body.size();
    if (m_answerBytes + bytes > m_options.maxAnswerBytes) {
        record.outcome = withoutBody();
        return;
    }
    record.outcome = outcome;
    record.answerBytes = bytes;
    m_answerBytes += bytes;
}

bool IdMemory::isOld(UnixMilliseconds time) const
{
    return m_latest.value() - time.value() > inMilliseconds(idMemory);
}

void IdMemory::forgetOld()
{
    while (!m_records.empty()) {
        const auto oldest = m_records.begin();
        if (!isOld(oldest->first.first) || !oldest->second.outcome)
            return;
        m_answerBytes -= oldest->second.answerBytes;
        m_records.erase(oldest);
    }
}

// True until the last moment, by this owner's clock, that an earlier owner may have reached.
bool IdMemory::mayPredate(UnixMilliseconds time) const
{
    const std::optional<UnixMilliseconds> takeover = m_options.takeover;
    return takeover && time.value() <= takeover->value() + inMilliseconds(maxPredecessorLead);
}

std::optional<Outcome> IdMemory::refusal(const ParsedRequestId &id, UnixMilliseconds now) const
{
    if (isOld(id.time))
        return idPredatesOwner(id, "is older than the memory of ids");
    if (mayPredate(id.time))
        return idPredatesOwner(id, "may have been made before this owner took over");
    if (id.time.value() - now.value() > inMilliseconds(maxClockSkew)) {
        if (mayPredate(now))
            return idPredatesOwner(id, "is from the future and this owner took over just now");
        return idFromFuture(id, now);
    }
    if (m_records.size() >= m_options.maxIds)
        return memoryFull(m_options.maxIds);
    return std::nullopt;
}

} // namespace cwl::requests
