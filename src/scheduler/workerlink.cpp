#include "scheduler/workerlink.h"

#include "base/error.h"
#include "base/json.h"

#include <absl/strings/str_cat.h>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace cwl::scheduler {

namespace {

namespace asio = boost::asio;

// Longest wait of a long poll. It bounds how late an unresponsive idle worker is detected and how
// old the sample of its clock gets; a command without a response is detected sooner. Each report
// lists all running tasks: with 1500 the owner of 6,000 tasks used 10.4% of a core, with 5000 4.9%.
constexpr int64_t reportWaitMs = 5000;
constexpr Duration reportTimeout = milliseconds(reportWaitMs) + seconds(2);
constexpr Duration minBackoff = milliseconds(100); // after a failed poll; doubles up to maxBackoff
constexpr Duration maxBackoff = seconds(1);

absl::StatusOr<Json::Value> contentOf(const absl::StatusOr<http::Response> &response)
{
    if (!response.ok())
        return response.status();
    absl::StatusOr<Json::Value> body = parseJson(response->body);
    if (!body.ok())
        return makeError(Failure::ProtocolError, "the worker's response is not JSON");
    if (response->status != 200)
        return errorFromJson(*body);
    return body;
}

} // namespace

absl::StatusOr<std::shared_ptr<WorkerLink>>
WorkerLink::create(asio::io_context &control, asio::io_context &traffic, const WorkerId &worker,
                   const std::string &address, Listener listener)
{
    std::shared_ptr<WorkerLink> link(new WorkerLink(control, worker, address, std::move(listener)));
    auto reports = http::Client::create(
            traffic, {.address = address, .maxConnections = 1, .traffic = Traffic::HttpWorkers});
    if (!reports.ok())
        return reports.status();
    auto commands = http::Client::create(
            traffic, {.address = address, .maxConnections = 2, .traffic = Traffic::HttpWorkers});
    if (!commands.ok())
        return commands.status();
    link->m_reports = *std::move(reports);
    link->m_commands = *std::move(commands);
    return link;
}

WorkerLink::WorkerLink(asio::io_context &control, const WorkerId &worker, std::string address,
                       Listener listener)
    : m_control(control)
    , m_worker(worker)
    , m_address(std::move(address))
    , m_listener(std::move(listener))
    , m_timer(control)
{
}

http::Request WorkerLink::makeRequest(const std::string &action, const Json::Value &body) const
{
    http::Request request;
    request.method = "POST";
    request.path = absl::StrCat("/workers/", m_worker.value(), "/", action);
    request.headers.set("Content-Type", "application/json");
    request.body = writeJson(body);
    return request;
}

void WorkerLink::startPolling()
{
    poll();
}

void WorkerLink::close()
{
    m_isClosed = true;
    m_timer.cancel();
    m_reports->closeAll();
    m_commands->closeAll();
}

void WorkerLink::poll()
{
    if (m_isClosed)
        return;
    Json::Value body;
    body["afterSequence"] = Json::Int64(m_sequence);
    // The first report of a connection is requested without waiting: the worker may no longer know
    // the sequence, for example after a restart.
    body["waitMs"] = Json::Int64(m_sequence == 0 ? 0 : reportWaitMs);
    const TimePoint requestedAt = BootClock::now();
    m_reports->send(
            makeRequest("report", body), requestedAt + reportTimeout,
            [self = shared_from_this(), requestedAt](absl::StatusOr<http::Response> response) {
                const TimePoint receivedAt = BootClock::now();
                auto content = contentOf(response);
                auto report = content.ok() ? reportFromJson(*content)
                                           : absl::StatusOr<WorkerReport>(content.status());
                asio::post(self->m_control,
                           [self, report = std::move(report), requestedAt, receivedAt] {
                               self->polled(report, requestedAt, receivedAt);
                           });
            });
}

void WorkerLink::polled(absl::StatusOr<WorkerReport> report, TimePoint requestedAt,
                        TimePoint receivedAt)
{
    if (m_isClosed)
        return;
    if (!report.ok()) {
        m_sequence = 0;
        m_listener.pollFailed(report.status());
        retryPoll();
        return;
    }
    m_backoff = {};
    m_sequence = report->sequence;
    m_listener.reported(*report, requestedAt, receivedAt);
    poll();
}

void WorkerLink::retryPoll()
{
    m_backoff = std::clamp<Duration>(m_backoff * 2, minBackoff, maxBackoff);
    m_timer.expires_after(
            std::chrono::duration_cast<std::chrono::steady_clock::duration>(m_backoff));
    m_timer.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
        if (!error)
            self->poll();
    });
}

void WorkerLink::send(const std::string &action, const Json::Value &body, TimePoint deadline,
                      ResponseCallback callback)
{
    m_commands->send(makeRequest(action, body), deadline,
                     [self = shared_from_this(),
                      callback = std::move(callback)](absl::StatusOr<http::Response> response) {
                         asio::post(self->m_control,
                                    [self, callback, content = contentOf(response)] {
                                        if (!self->m_isClosed && callback)
                                            callback(content);
                                    });
                     });
}

} // namespace cwl::scheduler
