#include "platform/platform.h"

#include "base/error.h"
#include "base/random.h"
#include "http/client.h"
#include "platform/circuitbreaker.h"
#include "platform/tokenbucket.h"
#include "platform/wire.h"

#include <absl/strings/str_cat.h>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <utility>

// Index
// - Call: one access with its retries
// - Implementation: attempt, answer, retry, finish
// - Client: the public functions

namespace cwl::platform {

namespace {

constexpr size_t maxConnections = 8;
constexpr Duration firstBackoff = milliseconds(50);
constexpr Duration maxBackoff = milliseconds(500);
constexpr int statusOk = 200;
constexpr int statusTooMany = 429;
constexpr int statusUnavailable = 503;

// Section: Call

// One access to the platform, repeated until it is answered or its deadline passes.
struct Call
{
    http::Request request;
    std::string changeId = {}; // of a commit; empty for reads
    TokenBucket *bucket = nullptr;
    int64_t cost = 1;   // tokens of the bucket
    TimePoint deadline; // of the whole call
    Duration backoff = firstBackoff;
    bool mayHaveWritten = false; // a commit was sent at least once without an answer
    bool asksOutcome = false;    // the next attempt reads the outcome of the commit
    std::function<void(absl::StatusOr<http::Response>)> done;
};

using CallPointer = std::shared_ptr<Call>;

bool isCertainlyNotSent(const absl::Status &status)
{
    const Failure failure = failureOf(status);
    return failure == Failure::ConnectionRefused || failure == Failure::DeadlinePassed;
}

http::Request outcomeRequest(const Call &call)
{
    return {.method = "GET", .path = absl::StrCat("/tables/changes/", call.changeId)};
}

absl::Status unexpectedStatus(const http::Response &response)
{
    return makeError(Failure::ProtocolError,
                     absl::StrCat("the platform answered with status ", response.status));
}

// Passes a complete answer with status 200 through `parse`, any other outcome on as a failure.
template <typename Callback, typename Parse>
std::function<void(absl::StatusOr<http::Response>)> answerTo(Callback callback, Parse parse)
{
    return [callback = std::move(callback),
            parse = std::move(parse)](absl::StatusOr<http::Response> response) {
        if (!response.ok())
            callback(response.status());
        else if (response->status != statusOk)
            callback(unexpectedStatus(*response));
        else
            callback(parse(response->body));
    };
}

} // namespace

// Section: Implementation

class Client::Implementation : public std::enable_shared_from_this<Client::Implementation>
{
public:
    Implementation(boost::asio::io_context &context, const ClientOptions &options,
                   std::unique_ptr<http::Client> http)
        : m_context(context)
        , m_attemptTimeout(options.attemptTimeout)
        , m_http(std::move(http))
        , m_breaker(options.breakerOpenTime)
        , m_reads(options.maxReadsPerSecond, BootClock::now())
        , m_writes(options.maxWritesPerSecond, BootClock::now())
        , m_generator(randomSeed())
    {
    }

    TokenBucket &reads() { return m_reads; }
    TokenBucket &writes() { return m_writes; }
    bool isAvailable() const { return !m_breaker.isOpen(); }

    void start(const CallPointer &call)
    {
        (call->bucket == &m_writes ? m_writeCount : m_readCount) += call->cost;
        const TimePoint now = BootClock::now();
        const TimePoint from = call->bucket->reserve(call->cost, now);
        if (from <= now)
            attempt(call);
        else
            after(call, from);
    }

    Json::Value state() const
    {
        Json::Value value;
        value["available"] = isAvailable();
        value["reads"] = Json::Int64(m_readCount);
        value["writes"] = Json::Int64(m_writeCount);
        value["failures"] = Json::Int64(m_failureCount);
        value["callsUnderWay"] = Json::Int64(m_underWay);
        return value;
    }

private:
    void attempt(const CallPointer &call)
    {
        const TimePoint now = BootClock::now();
        if (now >= call->deadline) {
            finishWithoutAnswer(call);
            return;
        }
        if (!m_breaker.allows(now)) {
            if (call->mayHaveWritten)
                after(call, m_breaker.openUntil());
            else
                finishWithoutAnswer(call);
            return;
        }
        ++m_underWay;
        m_http->send(call->asksOutcome ? outcomeRequest(*call) : call->request,
                     std::min(now + m_attemptTimeout, call->deadline),
                     [weak = weak_from_this(), call](absl::StatusOr<http::Response> response) {
                         if (const auto self = weak.lock())
                             self->answered(call, std::move(response));
                     });
    }

    void answered(const CallPointer &call, absl::StatusOr<http::Response> response)
    {
        --m_underWay;
        const bool isLost = !response.ok();
        if (isLost || response->status == statusUnavailable) {
            m_breaker.failed(BootClock::now());
            if (isLost)
                noteLostAnswer(call, response.status());
            retry(call);
            return;
        }
        m_breaker.succeeded();
        if (response->status == statusTooMany)
            retry(call);
        else if (call->asksOutcome)
            outcomeRead(call, *std::move(response));
        else
            call->done(std::move(response));
    }

    // An unanswered commit may have taken effect: its outcome is read before it is sent again.
    void noteLostAnswer(const CallPointer &call, const absl::Status &status)
    {
        const bool isCommit = !call->changeId.empty();
        if (!isCommit || isCertainlyNotSent(status))
            return;
        call->mayHaveWritten = true;
        call->asksOutcome = true;
    }

    // The platform decides a change id once, so a commit that it does not know of may be sent
    // again.
    void outcomeRead(const CallPointer &call, http::Response response)
    {
        const absl::StatusOr<ChangeOutcome> outcome = changeAnswer(response.body);
        if (outcome.ok() && outcome->known) {
            call->done(std::move(response));
            return;
        }
        call->asksOutcome = false;
        attempt(call);
    }

    void retry(const CallPointer &call)
    {
        ++m_failureCount;
        std::uniform_real_distribution<double> jitter(0.5, 1.0);
        const auto pause =
                std::chrono::duration_cast<Duration>(call->backoff * jitter(m_generator));
        call->backoff = std::min(call->backoff * 2, maxBackoff);
        after(call, BootClock::now() + pause);
    }

    void after(const CallPointer &call, TimePoint instant)
    {
        const TimePoint now = BootClock::now();
        const TimePoint wakeUp = std::min(std::max(instant, now), call->deadline);
        const auto timer = std::make_shared<boost::asio::steady_timer>(m_context);
        timer->expires_after(std::max(Duration(0), wakeUp - now));
        timer->async_wait(
                [weak = weak_from_this(), call, timer](const boost::system::error_code &) {
                    if (const auto self = weak.lock())
                        self->attempt(call);
                });
    }

    void finishWithoutAnswer(const CallPointer &call)
    {
        ++m_failureCount;
        // Reported after the caller's function has returned, so that callers need not expect
        // re-entry.
        boost::asio::post(m_context, [call] {
            const Failure failure =
                    call->mayHaveWritten ? Failure::StoreOutcomeUnknown : Failure::StoreUnavailable;
            const std::string message = call->mayHaveWritten
                    ? "the store did not answer; the change may have taken effect"
                    : "the store is not available; nothing was done";
            call->done(makeError(failure, message, {.retryAfterMs = 1000}));
        });
    }

    boost::asio::io_context &m_context;
    Duration m_attemptTimeout;
    std::unique_ptr<http::Client> m_http;
    CircuitBreaker m_breaker;
    TokenBucket m_reads;
    TokenBucket m_writes;
    Generator m_generator;
    int64_t m_readCount = 0;
    int64_t m_writeCount = 0;
    int64_t m_failureCount = 0;
    int64_t m_underWay = 0;
};

// Section: Client

Client::Client(std::shared_ptr<Implementation> implementation)
    : m_implementation(std::move(implementation))
{
}

Client::~Client() = default;

absl::StatusOr<std::unique_ptr<Client>> Client::create(boost::asio::io_context &context,
                                                       const ClientOptions &options)
{
    http::ClientOptions httpOptions;
    httpOptions.address = options.address;
    httpOptions.maxConnections = maxConnections;
    httpOptions.traffic = Traffic::HttpPlatform;
    absl::StatusOr<std::unique_ptr<http::Client>> http = http::Client::create(context, httpOptions);
    if (!http.ok())
        return http.status();
    auto implementation = std::make_shared<Implementation>(context, options, *std::move(http));
    return std::unique_ptr<Client>(new Client(std::move(implementation)));
}

void Client::commit(Commit commit, TimePoint deadline, CommitCallback callback)
{
    auto call = std::make_shared<Call>();
    call->request = {.method = "POST", .path = "/tables/commit", .body = commitToJson(commit)};
    call->changeId = commit.changeId.value();
    call->bucket = &m_implementation->writes();
    call->cost = std::max<int64_t>(1, static_cast<int64_t>(commit.writes.size()));
    call->deadline = deadline;
    call->done = answerTo(std::move(callback), commitAnswer);
    m_implementation->start(call);
}

void Client::read(std::vector<Read> reads, TimePoint deadline, ReadCallback callback)
{
    auto call = std::make_shared<Call>();
    call->request = {.method = "POST", .path = "/tables/read", .body = readsToJson(reads)};
    call->bucket = &m_implementation->reads();
    call->cost = std::max<int64_t>(1, static_cast<int64_t>(reads.size()));
    call->deadline = deadline;
    call->done = answerTo(std::move(callback), [count = reads.size()](const std::string &body) {
        return readAnswer(body, count);
    });
    m_implementation->start(call);
}

void Client::instances(TimePoint deadline, InstancesCallback callback)
{
    auto call = std::make_shared<Call>();
    call->request = {.method = "GET", .path = "/instances"};
    call->bucket = &m_implementation->reads();
    call->deadline = deadline;
    call->done = answerTo(std::move(callback), instancesAnswer);
    m_implementation->start(call);
}

void Client::putObject(const std::string &name, std::string content, TimePoint deadline,
                       std::function<void(absl::Status)> callback)
{
    auto call = std::make_shared<Call>();
    call->request = {
            .method = "PUT", .path = absl::StrCat("/objects/", name), .body = std::move(content)};
    call->bucket = &m_implementation->writes();
    call->deadline = deadline;
    call->done =
            answerTo(std::move(callback), [](const std::string &) { return absl::OkStatus(); });
    m_implementation->start(call);
}

void Client::object(const std::string &name, TimePoint deadline, ObjectCallback callback)
{
    auto call = std::make_shared<Call>();
    call->request = {.method = "GET", .path = absl::StrCat("/objects/", name)};
    call->bucket = &m_implementation->reads();
    call->deadline = deadline;
    call->done = answerTo(std::move(callback), [](const std::string &body) { return body; });
    m_implementation->start(call);
}

bool Client::isAvailable() const
{
    return m_implementation->isAvailable();
}

Json::Value Client::state() const
{
    return m_implementation->state();
}

} // namespace cwl::platform
