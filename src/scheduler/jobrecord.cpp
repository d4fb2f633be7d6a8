#include "scheduler/jobrecord.h"

#include "base/error.h"
#include "base/json.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <limits>

namespace cwl::scheduler {

namespace {

using placement::JobSpec;
using placement::PackingPolicy;

constexpr int64_t maxMillicores = 10'000'000;
constexpr int64_t maxMemoryMiB = 100'000'000;
constexpr int64_t maxAccelerators = 1000;
constexpr int64_t maxRunMs = 366LL * 24 * 3600 * 1000;

constexpr std::array knownFields = {"jobId", "team",       "kind",      "class",
                                    "count", "cores",      "memoryMiB", "accelerators",
                                    "runMs", "dataCentre", "policy",    "spec"};

bool parseNumber(const char *&position, const char *end, uint32_t &value)
{
    const auto [next, error] = std::from_chars(position, end, value);
    if (error != std::errc())
        return false;
    position = next;
    return true;
}

absl::Status checkFields(const Json::Value &body, JobSpec &)
{
    if (!body.isObject())
        return makeError(Failure::MalformedBody, "a job is a JSON object");
    for (const std::string &name : body.getMemberNames()) {
        const bool isKnown = std::any_of(knownFields.begin(), knownFields.end(),
                                         [&](const char *known) { return name == known; });
        if (!isKnown)
            return makeError(Failure::UnknownField,
                             absl::StrCat("a job has no field \"", name, "\""), {.field = name});
    }
    if (body.isMember("spec") && writeJson(body["spec"]).size() > maxSpecBytes)
        return makeError(Failure::InvalidValue, "the field spec is too large",
                         {.field = "spec", .limit = absl::StrCat(maxSpecBytes, " bytes")});
    return absl::OkStatus();
}

absl::Status readPolicy(const Json::Value &body, JobSpec &spec)
{
    if (!body.isMember("policy"))
        return absl::OkStatus();
    const std::string name = body["policy"].isString() ? body["policy"].asString() : "";
    if (name == "best-fit")
        spec.policy = PackingPolicy::BestFit;
    else if (name == "worst-fit")
        spec.policy = PackingPolicy::WorstFit;
    else if (name == "reserve-for-gangs")
        spec.policy = PackingPolicy::ReserveForGangs;
    else
        return makeError(Failure::InvalidValue, "unknown packing policy",
                         {.field = "policy", .limit = "best-fit, worst-fit or reserve-for-gangs"});
    return absl::OkStatus();
}

absl::Status readIdentity(const Json::Value &body, JobSpec &spec)
{
    const auto id = stringMember(body, "jobId");
    if (!id.ok())
        return id.status();
    const bool isUsable = !id->empty() && id->size() <= maxJobIdBytes
            && std::all_of(id->begin(), id->end(), [](unsigned char character) {
                   return std::isalnum(character) || character == '-' || character == '_'
                           || character == '.';
               });
    if (!isUsable)
        return makeError(Failure::InvalidValue, "jobId has invalid characters or an invalid length",
                         {.field = "jobId",
                          .limit = absl::StrCat("1 to ", maxJobIdBytes,
                                                " letters, digits, '-', '_' or '.'")});
    const auto team = stringMember(body, "team");
    if (!team.ok())
        return team.status();
    const auto kindName = stringMember(body, "kind");
    if (!kindName.ok())
        return kindName.status();
    const auto kind = placement::jobKindFromName(*kindName);
    if (!kind)
        return makeError(Failure::InvalidValue, absl::StrCat("unknown kind \"", *kindName, "\""),
                         {.field = "kind", .limit = "service, batch or gang"});
    spec.id = JobId(*id);
    spec.team = TeamId(*team);
    spec.kind = *kind;
    if (body.isMember("class")) {
        const auto name = stringMember(body, "class");
        if (!name.ok())
            return name.status();
        const auto urgency = settings::urgencyClassFromName(*name);
        if (!urgency.ok())
            return urgency.status();
        spec.urgency = *urgency;
    }
    return absl::OkStatus();
}

absl::Status readResources(const Json::Value &body, JobSpec &spec)
{
    struct Field
    {
        const char *name;
        int64_t minimum;
        int64_t maximum;
        bool isRequired;
    };
    constexpr Field fields[] = {{"count", 1, maxTasksPerJob, true},
                                {"cores", 1, maxMillicores, true},
                                {"memoryMiB", 1, maxMemoryMiB, true},
                                {"accelerators", 0, maxAccelerators, false},
                                {"runMs", 0, maxRunMs, false}};
    int64_t values[5] = {};
    for (size_t i = 0; i < 5; ++i) {
        if (!fields[i].isRequired && !body.isMember(fields[i].name))
            continue;
        const auto value = intMember(body, fields[i].name, fields[i].minimum, fields[i].maximum);
        if (!value.ok())
            return value.status();
        values[i] = *value;
    }
    spec.count = static_cast<uint32_t>(values[0]);
    spec.each = {Millicores(values[1]), Mebibytes(values[2]), Accelerators(values[3])};
    spec.run = milliseconds(values[4]);
    return absl::OkStatus();
}

} // namespace

// Section: index sets

bool IndexSet::contains(uint32_t index) const
{
    const auto after = m_ranges.upper_bound(index);
    return after != m_ranges.begin() && std::prev(after)->second >= index;
}

bool IndexSet::add(uint32_t index)
{
    if (contains(index))
        return false;
    ++m_size;
    uint32_t first = index;
    uint32_t last = index;
    const auto after = m_ranges.upper_bound(index);
    const bool joinsNext = after != m_ranges.end() && after->first == index + 1;
    const bool joinsPrevious = after != m_ranges.begin() && std::prev(after)->second + 1 == index;
    if (joinsPrevious)
        first = std::prev(after)->first;
    if (joinsNext) {
        last = after->second;
        m_ranges.erase(after);
    }
    m_ranges[first] = last;
    return true;
}

void IndexSet::addAll(const IndexSet &other)
{
    for (const uint32_t index : other.indexes())
        add(index);
}

std::vector<uint32_t> IndexSet::indexes() const
{
    std::vector<uint32_t> all;
    for (const auto &[first, last] : m_ranges) {
        for (uint32_t index = first; index <= last; ++index)
            all.push_back(index);
    }
    return all;
}

std::string IndexSet::toText() const
{
    std::string text;
    for (const auto &[first, last] : m_ranges) {
        absl::StrAppend(&text, text.empty() ? "" : ",", first);
        if (last != first)
            absl::StrAppend(&text, "-", last);
    }
    return text;
}

absl::StatusOr<IndexSet> IndexSet::fromText(const std::string &text, uint32_t limit)
{
    IndexSet set;
    const char *position = text.data();
    const char *const end = position + text.size();
    const auto malformed = [&] {
        return makeError(
                Failure::InvalidValue, "the task index ranges are malformed",
                {.field = "succeeded or failed", .limit = absl::StrCat("ranges below ", limit)});
    };
    while (position != end) {
        uint32_t first = 0;
        if (!parseNumber(position, end, first))
            return malformed();
        uint32_t last = first;
        if (position != end && *position == '-' && !parseNumber(++position, end, last))
            return malformed();
        const bool isAscending =
                set.m_ranges.empty() || std::prev(set.m_ranges.end())->second < first;
        if (last < first || last >= limit || !isAscending)
            return malformed();
        set.m_ranges[first] = last;
        set.m_size += last - first + 1;
        if (position != end && *position++ != ',')
            return malformed();
    }
    return set;
}

// Section: jobs

const char *jobStateName(JobState state)
{
    switch (state) {
    case JobState::Accepted:
        return "accepted";
    case JobState::Cancelled:
        return "cancelled";
    case JobState::Done:
        return "done";
    }
    return "accepted";
}

absl::StatusOr<JobSpec> jobFromJson(const Json::Value &body)
{
    JobSpec spec;
    using Step = absl::Status (*)(const Json::Value &, JobSpec &);
    const Step steps[] = {checkFields, readIdentity, readResources, readPolicy};
    for (const Step step : steps) {
        const absl::Status status = step(body, spec);
        if (!status.ok())
            return status;
    }
    if (body.isMember("dataCentre")) {
        const auto dataCentre = stringMember(body, "dataCentre");
        if (!dataCentre.ok())
            return dataCentre.status();
        spec.dataCentre = DataCentreId(*dataCentre);
    }
    return spec;
}

Json::Value toRow(const JobRecord &record)
{
    Json::Value row;
    row["job"] = record.submitted;
    row["state"] = jobStateName(record.state);
    row["succeeded"] = record.succeeded.toText();
    row["failed"] = record.failed.toText();
    if (record.state != JobState::Accepted)
        row["finishedMs"] = Json::Int64(record.finishedAt.value());
    return row;
}

absl::StatusOr<JobRecord> fromRow(const Json::Value &row)
{
    if (!row.isObject())
        return makeError(Failure::ProtocolError, "a row of the table jobs is not an object");
    const auto spec = jobFromJson(row["job"]);
    if (!spec.ok())
        return spec.status();
    JobRecord record{.spec = *spec, .submitted = row["job"]};
    const auto succeeded = IndexSet::fromText(row["succeeded"].asString(), spec->count);
    if (!succeeded.ok())
        return succeeded.status();
    const auto failed = IndexSet::fromText(row["failed"].asString(), spec->count);
    if (!failed.ok())
        return failed.status();
    record.succeeded = *succeeded;
    record.failed = *failed;
    if (row["finishedMs"].isInt64())
        record.finishedAt = UnixMilliseconds(row["finishedMs"].asInt64());
    const std::string state = row["state"].asString();
    if (state == jobStateName(JobState::Cancelled))
        record.state = JobState::Cancelled;
    else if (state == jobStateName(JobState::Done))
        record.state = JobState::Done;
    return record;
}

TaskId taskId(const JobId &job, uint32_t index)
{
    return TaskId(absl::StrCat(job.value(), "/", index));
}

std::optional<std::pair<JobId, uint32_t>> parseTaskId(const std::string &id)
{
    const size_t slash = id.rfind('/');
    if (slash == std::string::npos || slash == 0)
        return std::nullopt;
    uint32_t index = 0;
    const char *position = id.data() + slash + 1;
    const char *const end = id.data() + id.size();
    if (!parseNumber(position, end, index) || position != end)
        return std::nullopt;
    return std::pair(JobId(id.substr(0, slash)), index);
}

} // namespace cwl::scheduler
