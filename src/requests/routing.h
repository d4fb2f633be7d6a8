// Choice of the endpoint group that serves a request, and of the group that an endpoint belongs to.

#pragma once

#include "base/random.h"
#include "base/strongid.h"

#include <cstdint>
#include <functional>
#include <string>

namespace cwl::requests {

// "endpoint/<service>/<number>".
GroupId endpointGroupId(const ServiceId &service, int64_t number);

// The group that owns a non-idempotent id: a hash of the id, equal at every process.
int64_t groupOfRequestId(const RequestId &id, int64_t groups);

// The group that an endpoint belongs to. It depends on the id alone, so that two owners whose
// instance lists differ never both use an endpoint. Ids that end in a number are spread evenly by
// that number; others are hashed.
int64_t groupOfEndpoint(const EndpointId &id, int64_t groups);

// For an idempotent request: of two groups drawn at random, the one with the lower load.
// `load` is (slots in use + queued requests) / slots, as last known.
int64_t chooseGroup(int64_t groups, Generator &generator,
                    const std::function<double(int64_t)> &load);

} // namespace cwl::requests
