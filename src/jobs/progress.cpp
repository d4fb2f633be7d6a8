#include "jobs/progress.h"

#include "base/boundedjson.h"
#include "base/error.h"
#include "jobs/attempts.h"
#include "jobs/limits.h"

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <string_view>
#include <utility>

namespace cwl::jobs {

namespace {

using Writer = rapidjson::Writer<rapidjson::StringBuffer>;
using rapidjson::Value;

void put(Writer &writer, const char *key, const std::string &text)
{
    if (text.empty())
        return;
    writer.Key(key);
    writer.String(text.data(), rapidjson::SizeType(text.size()));
}

void put(Writer &writer, const char *key, int64_t number)
{
    if (number == 0)
        return;
    writer.Key(key);
    writer.Int64(number);
}

void putFlag(Writer &writer, const char *key, bool flag)
{
    if (!flag)
        return;
    writer.Key(key);
    writer.Bool(true);
}

std::string text(const Value &object, const char *key)
{
    const auto member = object.FindMember(key);
    if (member == object.MemberEnd() || !member->value.IsString())
        return {};
    return {member->value.GetString(), member->value.GetStringLength()};
}

int64_t number(const Value &object, const char *key)
{
    const auto member = object.FindMember(key);
    return member != object.MemberEnd() && member->value.IsInt64() ? member->value.GetInt64() : 0;
}

// A number outside the range of the type reads as 0.
uint32_t smallNumber(const Value &object, const char *key)
{
    const int64_t value = number(object, key);
    return value >= 0 && value <= UINT32_MAX ? uint32_t(value) : 0;
}

bool flag(const Value &object, const char *key)
{
    const auto member = object.FindMember(key);
    return member != object.MemberEnd() && member->value.IsBool() && member->value.GetBool();
}

int64_t microseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
}

Duration duration(const Value &object, const char *key, Duration most)
{
    using std::chrono::microseconds;
    const auto limit = std::chrono::duration_cast<microseconds>(most);
    return microseconds(std::clamp<int64_t>(number(object, key), 0, limit.count()));
}

void writeQueue(Writer &writer, const Queue &queue)
{
    writer.StartObject();
    put(writer, "name", queue.name);
    put(writer, "service", queue.service);
    put(writer, "priority", queue.priority);
    put(writer, "maxAttempts", queue.maxAttempts);
    put(writer, "stretchPermille", int64_t(queue.maxSlowdown * 1000));
    put(writer, "allowanceUs", microseconds(queue.latencyAllowance));
    if (queue.advice) {
        put(writer, "decisionUs", microseconds(queue.advice->decision));
        put(writer, "perWorkerUs", microseconds(queue.advice->perWorker));
        put(writer, "validityUs", microseconds(queue.advice->validity));
    }
    writer.EndObject();
}

void writeCustomer(Writer &writer, const Customer &customer)
{
    writer.StartObject();
    put(writer, "id", customer.id.value());
    put(writer, "weight", customer.weight);
    put(writer, "capCores", customer.cap.cores.value());
    put(writer, "capMemory", customer.cap.memory.value());
    put(writer, "capAccelerators", customer.cap.accelerators.value());
    writer.EndObject();
}

Customer readCustomer(const Value &value)
{
    Customer customer;
    customer.id = CustomerId(text(value, "id"));
    customer.weight = std::max<int64_t>(0, number(value, "weight"));
    customer.cap = {Millicores(number(value, "capCores")), Mebibytes(number(value, "capMemory")),
                    Accelerators(number(value, "capAccelerators"))};
    return customer;
}

Queue readQueue(const Value &value)
{
    Queue queue;
    queue.name = text(value, "name");
    queue.service = text(value, "service");
    queue.priority = number(value, "priority");
    queue.maxAttempts = std::max<int64_t>(1, number(value, "maxAttempts"));
    queue.maxSlowdown = std::clamp<double>(double(number(value, "stretchPermille")) / 1000, 0,
                                           maxSlowdownLimit);
    queue.latencyAllowance = duration(value, "allowanceUs", maxJobDuration);
    if (number(value, "validityUs") > 0)
        queue.advice = AdvicePolicy{duration(value, "decisionUs", maxJobDuration),
                                    duration(value, "perWorkerUs", maxJobDuration),
                                    duration(value, "validityUs", maxJobDuration)};
    return queue;
}

void writeStep(Writer &writer, const Step &step)
{
    writer.StartObject();
    put(writer, "count", int64_t(step.count));
    put(writer, "cores", step.each.cores.value());
    put(writer, "memory", step.each.memory.value());
    put(writer, "accelerators", step.each.accelerators.value());
    put(writer, "estimateUs", microseconds(step.estimate));
    if (!step.after.empty()) {
        writer.Key("after");
        writer.StartArray();
        for (const uint32_t before : step.after)
            writer.Uint(before);
        writer.EndArray();
    }
    put(writer, "label", step.label);
    put(writer, "rack", step.rack);
    put(writer, "image", step.image);
    put(writer, "maxPerWorker", int64_t(step.maxPerWorker));
    put(writer, "maxUnavailable", int64_t(step.maxUnavailable));
    put(writer, "tailTargetMs", step.tailTargetMs);
    putFlag(writer, "checkpoints", step.checkpoints);
    putFlag(writer, "gang", step.gang);
    putFlag(writer, "rackLocal", step.rackLocal);
    putFlag(writer, "speculative", step.speculative);
    putFlag(writer, "lasting", step.longRunning);
    putFlag(writer, "fill", step.backfill);
    writer.EndObject();
}

Step readStep(const Value &value)
{
    Step step;
    step.count = smallNumber(value, "count");
    step.each = {Millicores(number(value, "cores")), Mebibytes(number(value, "memory")),
                 Accelerators(number(value, "accelerators"))};
    step.estimate = duration(value, "estimateUs", maxJobDuration);
    const auto after = value.FindMember("after");
    if (after != value.MemberEnd() && after->value.IsArray()) {
        for (const Value &before : after->value.GetArray()) {
            if (before.IsUint())
                step.after.push_back(before.GetUint());
        }
    }
    step.label = text(value, "label");
    step.rack = text(value, "rack");
    step.image = text(value, "image");
    step.maxPerWorker = smallNumber(value, "maxPerWorker");
    step.maxUnavailable = smallNumber(value, "maxUnavailable");
    step.tailTargetMs = number(value, "tailTargetMs");
    step.checkpoints = flag(value, "checkpoints");
    step.gang = flag(value, "gang");
    step.rackLocal = flag(value, "rackLocal");
    step.speculative = flag(value, "speculative");
    step.longRunning = flag(value, "lasting");
    step.backfill = flag(value, "fill");
    return step;
}

const Value *arrayMember(const Value &object, const char *key)
{
    const auto member = object.FindMember(key);
    return member != object.MemberEnd() && member->value.IsArray() ? &member->value : nullptr;
}

absl::Status malformed(const char *what)
{
    return makeError(Failure::MalformedBody, std::string("a stored ") + what + " cannot be read");
}

} // namespace

std::string encodeJob(const JobSpec &spec)
{
    rapidjson::StringBuffer buffer;
    Writer writer(buffer);
    writer.StartObject();
    put(writer, "id", spec.id.value());
    writer.Key("queue");
    writeQueue(writer, spec.queue);
    if (spec.customer) {
        writer.Key("customer");
        writeCustomer(writer, *spec.customer);
    }
    put(writer, "payload", spec.payload);
    writer.Key("steps");
    writer.StartArray();
    for (const Step &step : spec.steps)
        writeStep(writer, step);
    writer.EndArray();
    put(writer, "times", int64_t(spec.times));
    put(writer, "firstAt", spec.firstAt.value());
    put(writer, "intervalUs", microseconds(spec.interval));
    put(writer, "acceptedAt", spec.acceptedAt.value());
    writer.EndObject();
    return {buffer.GetString(), buffer.GetSize()};
}

absl::StatusOr<JobSpec> decodeJob(const std::string &content)
{
    rapidjson::Document document;
    if (!parseJsonObject(document, content))
        return malformed("job");
    const Value &root = document;
    const auto queue = root.FindMember("queue");
    const Value *const steps = arrayMember(root, "steps");
    if (queue == root.MemberEnd() || !queue->value.IsObject() || !steps)
        return malformed("job");
    JobSpec spec;
    spec.id = JobId(text(root, "id"));
    spec.queue = readQueue(queue->value);
    const auto customer = root.FindMember("customer");
    if (customer != root.MemberEnd() && customer->value.IsObject())
        spec.customer = readCustomer(customer->value);
    spec.payload = text(root, "payload");
    for (const Value &step : steps->GetArray()) {
        if (!step.IsObject())
            return malformed("job");
        spec.steps.push_back(readStep(step));
    }
    spec.times = smallNumber(root, "times");
    spec.firstAt = UnixMilliseconds(number(root, "firstAt"));
    spec.interval = duration(root, "intervalUs", maxInterval);
    spec.acceptedAt = UnixMilliseconds(number(root, "acceptedAt"));
    const absl::Status status = checkJob(spec);
    if (!status.ok())
        return status;
    return spec;
}

namespace {

// What a row of progress holds beside the tasks that are done.
enum class ProgressDetail { All, NoCheckpoints, CountsOnly };

// Digits of the number of failures of a task, the lowest one with '.' for 0. Not among them is the
// character of a task that is done.
constexpr char doneTask = 'd';
constexpr std::string_view failureDigits =
        ".123456789abcefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ-+_";
static_assert(failureDigits.size() == failuresPerDigit);

uint32_t failureDigit(char text)
{
    const size_t digit = failureDigits.find(text);
    return digit == std::string_view::npos ? 0 : uint32_t(digit);
}

// The states of the tasks of a step, one character each, and the higher digits of their failures,
// which are empty if all are 0.
std::pair<std::string, std::string> encodeTasks(const std::vector<TaskProgress> &tasks)
{
    std::string states(tasks.size(), failureDigits[0]);
    std::string higher;
    for (size_t index = 0; index < tasks.size(); ++index) {
        if (tasks[index].isDone) {
            states[index] = doneTask;
            continue;
        }
        const uint32_t failures = std::min(tasks[index].failures, maxCountedFailures);
        states[index] = failureDigits[failures % failuresPerDigit];
        if (failures < failuresPerDigit)
            continue;
        higher.resize(tasks.size(), failureDigits[0]);
        higher[index] = failureDigits[failures / failuresPerDigit];
    }
    return {std::move(states), std::move(higher)};
}

std::string encodeWith(const Progress &progress, ProgressDetail detail)
{
    rapidjson::StringBuffer buffer;
    Writer writer(buffer);
    writer.StartObject();
    put(writer, "state", std::string(jobStateName(progress.state)));
    writer.Key("steps");
    writer.StartArray();
    for (const auto &[key, tasks] : progress.steps) {
        writer.StartObject();
        put(writer, "occurrence", int64_t(key.first));
        put(writer, "step", int64_t(key.second));
        put(writer, "count", int64_t(tasks.size()));
        const auto [states, higherDigits] = encodeTasks(tasks);
        put(writer, "done", states);
        put(writer, "failures64", higherDigits);
        writer.Key("others");
        writer.StartArray();
        for (size_t index = 0; index < tasks.size(); ++index) {
            const TaskProgress &task = tasks[index];
            const bool hasDetail = detail == ProgressDetail::All
                    || (detail == ProgressDetail::NoCheckpoints && !task.failedAttempts.empty());
            if (task.isDone || !hasDetail
                || (task.failedAttempts.empty() && task.checkpoint.empty()))
                continue;
            writer.StartObject();
            put(writer, "index", int64_t(index));
            writer.Key("failedAttempts");
            writer.StartArray();
            for (const int64_t attempt : task.failedAttempts)
                writer.Int64(attempt);
            writer.EndArray();
            if (detail == ProgressDetail::All)
                put(writer, "checkpoint", task.checkpoint);
            writer.EndObject();
        }
        writer.EndArray();
        writer.EndObject();
    }
    writer.EndArray();
    writer.EndObject();
    return {buffer.GetString(), buffer.GetSize()};
}

} // namespace

bool TaskProgress::addFailure(int64_t attempt)
{
    if (std::find(failedAttempts.begin(), failedAttempts.end(), attempt) != failedAttempts.end())
        return false;
    const std::optional<uint32_t> before = failuresBefore(attempt);
    // The run may be one of those whose numbers were left out of the stored progress.
    if (failedAttempts.size() < failures && before && *before < failures)
        return false;
    failures = std::max(failures, before.value_or(0)) + 1;
    failedAttempts.push_back(attempt);
    return true;
}

std::string encodeProgress(const Progress &progress, bool *isShortened)
{
    // The store refuses a transaction with a row that is too large, so the owner could store
    // nothing at all. Checkpoints cost only repeated work if they are left out.
    std::string text;
    for (const ProgressDetail detail :
         {ProgressDetail::All, ProgressDetail::NoCheckpoints, ProgressDetail::CountsOnly}) {
        text = encodeWith(progress, detail);
        if (isShortened)
            *isShortened = detail != ProgressDetail::All;
        if (text.size() <= maxProgressBytes)
            break;
    }
    return text;
}

namespace {

// Reads the progress of the tasks of one step. Returns false if it is malformed.
bool readTasks(const Value &step, std::vector<TaskProgress> &tasks)
{
    const Value *const others = arrayMember(step, "others");
    const int64_t count = number(step, "count");
    if (!others || count < 0 || count > int64_t(maxJobTasks))
        return false;
    tasks.resize(size_t(count));
    const std::string states = text(step, "done");
    const std::string higherDigits = text(step, "failures64");
    for (size_t index = 0; index < tasks.size() && index < states.size(); ++index) {
        tasks[index].isDone = states[index] == doneTask;
        tasks[index].failures = failureDigit(states[index]);
        if (index < higherDigits.size())
            tasks[index].failures += failuresPerDigit * failureDigit(higherDigits[index]);
    }
    for (const Value &other : others->GetArray()) {
        const int64_t index = other.IsObject() ? number(other, "index") : -1;
        const Value *const attempts =
                other.IsObject() ? arrayMember(other, "failedAttempts") : nullptr;
        if (index < 0 || index >= count || !attempts)
            return false;
        TaskProgress &task = tasks[size_t(index)];
        for (const Value &attempt : attempts->GetArray())
            task.failedAttempts.push_back(attempt.IsInt64() ? attempt.GetInt64() : 0);
        // Earlier versions stored no counts.
        task.failures = std::max(task.failures, uint32_t(task.failedAttempts.size()));
        task.checkpoint = text(other, "checkpoint");
    }
    return true;
}

} // namespace

absl::StatusOr<Progress> decodeProgress(const std::string &content)
{
    rapidjson::Document document;
    if (!parseJsonObject(document, content))
        return malformed("progress");
    const Value &root = document;
    Progress progress;
    const std::optional<JobState> state = jobStateFromName(text(root, "state"));
    const Value *const steps = arrayMember(root, "steps");
    if (!state || !steps)
        return malformed("progress");
    progress.state = *state;
    for (const Value &step : steps->GetArray()) {
        std::vector<TaskProgress> tasks;
        if (!step.IsObject() || !readTasks(step, tasks))
            return malformed("progress");
        progress.steps.emplace(StepKey(smallNumber(step, "occurrence"), smallNumber(step, "step")),
                               std::move(tasks));
    }
    return progress;
}

} // namespace cwl::jobs
