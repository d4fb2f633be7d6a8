#include "rpc/codec/codec.h"

#include <json/reader.h>
#include <jsonrpccpp/client.h>
#include <jsonrpccpp/server.h>

#include <exception>
#include <memory>

namespace cwl {
namespace rpc {

namespace {

// Section: client side of the library

// Keeps the text that the library wants to send and hands it the text that was received.
class TextConnector : public jsonrpc::IClientConnector
{
public:
    explicit TextConnector(std::string answer)
        : m_answer(std::move(answer))
    {
    }

    void SendRPCMessage(const std::string &message, std::string &result) noexcept override // NOLINT
    {
        m_sent = message;
        result = m_answer;
    }

    const std::string &sent() const { return m_sent; }

private:
    std::string m_answer;
    std::string m_sent;
};

// The library gives every call this id and writes it first.
const std::string fixedIdPrefix = "{\"id\":1,";

std::string withId(const std::string &text, std::uint64_t id)
{
    if (text.compare(0, fixedIdPrefix.size(), fixedIdPrefix) != 0)
        return {};
    return "{\"id\":" + std::to_string(id) + "," + text.substr(fixedIdPrefix.size());
}

// Section: server side of the library

// Dispatches one text to itself: keeps the call, and answers with a prepared result or error.
class OneProcedure : public jsonrpc::IProcedureInvokationHandler
{
public:
    explicit OneProcedure(const std::string &method, bool isNotification)
        : m_handler(jsonrpc::RequestHandlerFactory::createProtocolHandler(
                jsonrpc::JSONRPC_SERVER_V2, *this))
    {
        if (method.empty())
            return;
        jsonrpc::Procedure procedure;
        procedure.SetProcedureName(method);
        procedure.SetProcedureType(isNotification ? jsonrpc::RPC_NOTIFICATION
                                                  : jsonrpc::RPC_METHOD);
        procedure.SetReturnType(jsonrpc::JSON_OBJECT);
        procedure.SetParameterDeclarationType(jsonrpc::PARAMS_BY_NAME);
        m_handler->AddProcedure(procedure);
    }

    void HandleMethodCall(jsonrpc::Procedure &, const Json::Value &input, // NOLINT
                          Json::Value &output) override
    {
        wasCalled = true;
        parameters = input;
        if (error)
            throw jsonrpc::JsonRpcException(*error);
        output = result;
    }

    void HandleNotificationCall(jsonrpc::Procedure &, const Json::Value &input) override // NOLINT
    {
        wasCalled = true;
        parameters = input;
    }

    // Returns the library's answer to `text`.
    std::string handle(const std::string &text)
    {
        std::string answer;
        m_handler->HandleRequest(text, answer);
        return answer;
    }

    bool wasCalled = false;                           // the text was a valid call
    Json::Value parameters;                           // of that call
    Json::Value result;                               // to answer with
    std::unique_ptr<jsonrpc::JsonRpcException> error; // to answer with instead

private:
    std::unique_ptr<jsonrpc::IProtocolHandler> m_handler;
};

const char *const replyMethod = "reply"; // name in the request that makes the library write a reply

std::string replyRequest(std::uint64_t id)
{
    return "{\"id\":" + std::to_string(id) + ",\"jsonrpc\":\"2.0\",\"method\":\"" + replyMethod
            + "\"}";
}

// Section: decoding

Incoming malformed(const std::string &why)
{
    Incoming incoming;
    incoming.errorMessage = why;
    return incoming;
}

// Bounds the nesting before the library parses the text: a jsoncpp exception inside the library's
// exception specifications would end the process.
bool parseStrictly(const std::string &text, Json::Value &value, std::string &problems)
{
    Json::CharReaderBuilder builder;
    Json::CharReaderBuilder::strictMode(&builder.settings_);
    builder["stackLimit"] = 64;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    try {
        return reader->parse(text.data(), text.data() + text.size(), &value, &problems);
    } catch (const std::exception &exception) {
        problems = exception.what();
        return false;
    }
}

Incoming decodeRequest(const std::string &text, const Json::Value &value,
                       const IsKnownMethod &isKnown)
{
    Incoming incoming;
    if (!value["method"].isString())
        return malformed("method is not a string");
    incoming.method = value["method"].asString();
    const bool isNotification = !value.isMember("id");
    if (!isNotification && !value["id"].isUInt64())
        return malformed("id is not a whole number");
    incoming.id = isNotification ? 0 : value["id"].asUInt64();
    OneProcedure procedure(isKnown(incoming.method) ? incoming.method : std::string(),
                           isNotification);
    const std::string answer = procedure.handle(text);
    if (procedure.wasCalled) {
        incoming.kind = isNotification ? Incoming::Kind::Notification : Incoming::Kind::Call;
        incoming.content = procedure.parameters;
        return incoming;
    }
    if (isNotification)
        return malformed("notification '" + incoming.method + "' is unknown or invalid");
    incoming.kind = Incoming::Kind::Refused;
    incoming.reply = answer;
    return incoming;
}

Incoming decodeAnswer(const std::string &text, const Json::Value &value)
{
    Incoming incoming;
    if (!value["id"].isUInt64())
        return malformed("id is not a whole number");
    incoming.id = value["id"].asUInt64();
    TextConnector connector(text);
    jsonrpc::Client client(connector, jsonrpc::JSONRPC_CLIENT_V2);
    try {
        client.CallMethod("decode", Json::Value(), incoming.content);
        incoming.kind = Incoming::Kind::Result;
    } catch (const jsonrpc::JsonRpcException &exception) {
        // The library raises the same exception for an error answer and an answer of a wrong shape.
        if (!value.isMember("error"))
            return malformed(exception.what());
        incoming.kind = Incoming::Kind::Error;
        incoming.errorCode = exception.GetCode();
        incoming.errorMessage = exception.GetMessage();
        incoming.content = exception.GetData();
    }
    return incoming;
}

bool hasValidEnvelope(const Json::Value &value)
{
    if (!value.isObject() || value["jsonrpc"] != Json::Value("2.0"))
        return false;
    if (!value.isMember("error"))
        return true;
    const Json::Value &error = value["error"];
    return error.isObject() && error["code"].isInt() && error["message"].isString();
}

} // namespace

Incoming decode(const std::string &text, const IsKnownMethod &isKnown)
{
    Json::Value value;
    std::string problems;
    if (!parseStrictly(text, value, problems))
        return malformed(problems);
    if (!hasValidEnvelope(value))
        return malformed("not a JSON-RPC 2.0 object");
    try {
        if (value.isMember("method"))
            return decodeRequest(text, value, isKnown);
        return decodeAnswer(text, value);
    } catch (const std::exception &exception) {
        return malformed(exception.what());
    }
}

std::string encodeCall(std::uint64_t id, const std::string &method, const Json::Value &parameters)
{
    TextConnector connector(replyRequest(0));
    jsonrpc::Client client(connector, jsonrpc::JSONRPC_CLIENT_V2);
    try {
        client.CallMethod(method, parameters);
    } catch (const jsonrpc::JsonRpcException &) {
        // The connector's answer is no answer to this call; only the text that was sent matters.
    }
    return withId(connector.sent(), id);
}

std::string encodeNotification(const std::string &method)
{
    TextConnector connector("");
    jsonrpc::Client client(connector, jsonrpc::JSONRPC_CLIENT_V2);
    client.CallNotification(method, Json::Value());
    return connector.sent();
}

std::string encodeResult(std::uint64_t id, const Json::Value &result)
{
    OneProcedure procedure(replyMethod, false);
    procedure.result = result;
    return procedure.handle(replyRequest(id));
}

std::string encodeError(std::uint64_t id, int code, const std::string &message,
                        const Json::Value &data)
{
    OneProcedure procedure(replyMethod, false);
    procedure.error.reset(new jsonrpc::JsonRpcException(code, message, data));
    return procedure.handle(replyRequest(id));
}

} // namespace rpc
} // namespace cwl
