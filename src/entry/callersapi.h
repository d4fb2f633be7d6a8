// Callers' HTTP interface: POST /v1/services/{service}/{method} (docs/design.md, section 6).

#pragma once

#include "base/clock.h"
#include "entry/loadlimits.h"
#include "entry/wire.h"
#include "http/message.h"
#include "http/server.h"
#include "metrics/metrics.h"
#include "settings/cellsettings.h"

#include <absl/status/statusor.h>

#include <array>
#include <atomic>
#include <functional>
#include <memory>

namespace cwl::entry {

constexpr const char *servicesPrefix = "/v1/services/";
constexpr const char *outcomeHeader = "Request-Outcome"; // names the outcome of each request

// Reads a caller's request; `settings` name the services and methods. Errors: NotReady without
// settings, else InvalidValue, MissingField, UnknownService or UnknownMethod, naming the header or
// path part.
absl::StatusOr<ExecuteRequest> parseCallerRequest(http::Request request,
                                                  const settings::CellSettings *settings,
                                                  TimePoint now, UnixMilliseconds unixNow);

// The response that a caller gets: the endpoint's own, or a typed error. The header Request-Outcome
// names the outcome.
http::Response responseFor(const requests::Outcome &outcome);

class CallersApi
{
public:
    using Route = std::function<void(ExecuteRequest, std::function<void(requests::SharedOutcome)>)>;
    using CurrentSettings = std::function<std::shared_ptr<const settings::CellSettings>()>;

    CallersApi(CurrentSettings settings, Route route, LoadLimits &limits,
               metrics::Registry &metrics);

    // Answers one request. Any thread.
    void handle(http::Request request, http::Responder respond);

    // Refuses further requests with ShuttingDown.
    void stop() { m_isStopping = true; }

    int64_t underWay() const { return *m_underWay; } // requests without a response yet

private:
    struct Metrics
    {
        std::array<metrics::Counter *, 3> outcomes;                          // by OutcomeKind
        std::array<metrics::Histogram *, settings::urgencyClassCount> times; // by class
    };

    absl::StatusOr<ExecuteRequest> accept(http::Request request, LoadLimits::Place &place) const;

    CurrentSettings m_settings;
    Route m_route;
    LoadLimits &m_limits;
    Metrics m_metrics = {};
    std::atomic<bool> m_isStopping = false;
    std::shared_ptr<std::atomic<int64_t>> m_underWay = std::make_shared<std::atomic<int64_t>>(0);
};

} // namespace cwl::entry
