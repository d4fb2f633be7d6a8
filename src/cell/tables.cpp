#include "cell/tables.h"

#include "base/error.h"
#include "base/json.h"

#include <absl/strings/str_cat.h>
#include <xxhash.h>

namespace cwl::cell {

std::string jobPartName(size_t number)
{
    return absl::StrCat("j", number);
}

std::string jobPart(const JobId &id)
{
    return jobPartName(XXH64(id.value().data(), id.value().size(), 0) % jobParts);
}

std::string encodeOwner(const OwnerRow &row)
{
    Json::Value value;
    value["epoch"] = Json::Int64(row.epoch.value());
    value["holder"] = row.holder;
    value["address"] = row.address;
    value["number"] = Json::Int64(row.number);
    value["cores"] = Json::Int64(row.cores.value());
    value["isSole"] = row.isSole;
    return writeJson(value);
}

absl::StatusOr<OwnerRow> decodeOwner(const std::string &text)
{
    const absl::StatusOr<Json::Value> value = parseJson(text);
    if (!value.ok())
        return value.status();
    const auto epoch = intMember(*value, "epoch", 0, INT64_MAX);
    const auto holder = stringMember(*value, "holder");
    const auto address = stringMember(*value, "address");
    const auto number = intMember(*value, "number", 0, INT64_MAX);
    // Absent in rows of earlier versions.
    const auto cores = intMember(*value, "cores", 0, INT64_MAX);
    const bool isSole = (*value)["isSole"].isBool() && (*value)["isSole"].asBool();
    if (!epoch.ok())
        return epoch.status();
    if (!holder.ok() || !address.ok() || !number.ok())
        return makeError(Failure::MalformedBody, "the owner row lacks a field");
    return OwnerRow{Epoch(*epoch), *holder, *address, *number, Millicores(cores.value_or(0)),
                    isSole};
}

} // namespace cwl::cell
