// JSON-RPC 2.0 texts, written and checked by libjsonrpccpp. Compiled as C++14: only standard types
// and jsoncpp appear here.

#pragma once

#include <json/value.h>

#include <cstdint>
#include <functional>
#include <string>

namespace cwl {
namespace rpc {

// Section: error codes

constexpr int methodNotFoundCode = -32601; // of the JSON-RPC specification
constexpr int typedErrorCode = 1000;       // data holds a typed error of this system

// Section: decoding

struct Incoming
{
    enum class Kind {
        Malformed,    // not JSON-RPC 2.0; `errorMessage` says why
        Refused,      // a call that cannot be dispatched; `reply` is the text to answer
        Call,         // `id`, `method`, `content`
        Notification, // `method`, `content`
        Result,       // `id`, `content`
        Error,        // `id`, `errorCode`, `errorMessage`, `content`
    };

    Kind kind = Kind::Malformed;
    std::uint64_t id = 0;          // pairs an answer with its call
    std::string method = {};       // of a call or notification
    Json::Value content = {};      // parameters, result, or data of an error
    int errorCode = 0;             // of an error answer
    std::string errorMessage = {}; // of an error answer or a malformed text
    std::string reply = {};        // of a refused call
};

// Tells whether a method of that name can be dispatched.
using IsKnownMethod = std::function<bool(const std::string &)>;

// Decodes a text of either direction. Never throws. Any thread.
Incoming decode(const std::string &text, const IsKnownMethod &isKnown);

// Section: encoding. Any thread.

// `parameters` must be an object, an array or null.
std::string encodeCall(std::uint64_t id, const std::string &method, const Json::Value &parameters);
std::string encodeNotification(const std::string &method);
std::string encodeResult(std::uint64_t id, const Json::Value &result);
std::string encodeError(std::uint64_t id, int code, const std::string &message,
                        const Json::Value &data);

} // namespace rpc
} // namespace cwl
