#include "client/connection.h"

#include "base/error.h"
#include "base/json.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>
#include <cctype>
#include <optional>
#include <thread>
#include <utility>

namespace cwl::client {

namespace {

// Failures after which another server, or the same one a little later, may answer.
bool isWorthRepeating(Failure failure)
{
    switch (failure) {
    case Failure::ConnectionRefused:
    case Failure::ConnectionLost:
    case Failure::Timeout:
    case Failure::AnswerTruncated:
    case Failure::NotReady:
    case Failure::ShuttingDown:
    case Failure::NoOwner:
    case Failure::NotOwner:
    case Failure::StoreOutcomeUnknown:
        return true;
    default:
        return false;
    }
}

// An attempt that certainly had no effect says less than one that may have had one.
bool isCertainlyNotSent(const absl::Status &status)
{
    const Failure failure = failureOf(status);
    return failure == Failure::ConnectionRefused || failure == Failure::DeadlinePassed;
}

absl::Status atServer(const std::string &server, const absl::Status &status)
{
    return makeError(failureOf(status), absl::StrCat(server, ": ", std::string(status.message())),
                     detailOf(status));
}

absl::StatusOr<Answer> readResponse(const std::string &server, const http::Response &response)
{
    const bool isSuccess = response.status >= 200 && response.status < 300;
    if (isSuccess && response.body.empty())
        return Answer{.server = server, .body = Json::Value(Json::objectValue)};
    absl::StatusOr<Json::Value> body = parseJson(response.body);
    if (!body.ok())
        return makeError(Failure::ProtocolError,
                         absl::StrCat(server, " answered status ", response.status,
                                      " with a body that is not JSON; is it a scheduler?"));
    if (isSuccess)
        return Answer{.server = server, .body = *std::move(body)};
    return errorFromJson(*body);
}

} // namespace

absl::StatusOr<std::unique_ptr<Connection>> Connection::create(const ConnectionOptions &options)
{
    std::unique_ptr<Connection> connection(new Connection(options));
    if (options.servers.empty())
        return makeError(Failure::MissingField, "no server is given", {.field = "--server"});
    for (const std::string &server : options.servers) {
        http::ClientOptions clientOptions;
        clientOptions.address = server;
        absl::StatusOr<std::unique_ptr<http::Client>> client =
                http::Client::create(connection->m_context, clientOptions);
        if (!client.ok())
            return makeError(Failure::InvalidValue,
                             absl::StrCat("'", server, "' is not a numeric ip:port"),
                             {.field = "--server"});
        connection->m_clients.push_back(*std::move(client));
    }
    return connection;
}

Connection::Connection(const ConnectionOptions &options)
    : m_options(options)
    , m_deadline(BootClock::now() + options.timeout)
{
}

absl::StatusOr<Answer> Connection::send(http::Request request)
{
    std::optional<absl::Status> worst;
    while (true) {
        for (size_t index = 0; index < m_clients.size(); ++index) {
            absl::StatusOr<Answer> answer = attempt(index, request);
            if (answer.ok() || !isWorthRepeating(failureOf(answer.status())))
                return answer;
            if (!worst || isCertainlyNotSent(*worst))
                worst = answer.status();
        }
        if (BootClock::now() + retryInterval >= m_deadline)
            return *worst;
        std::this_thread::sleep_for(retryInterval);
    }
}

absl::StatusOr<Answer> Connection::sendTo(const std::string &server, http::Request request)
{
    const auto found = std::find(m_options.servers.begin(), m_options.servers.end(), server);
    if (found == m_options.servers.end())
        return makeError(Failure::Internal, "no connection to " + server);
    return attempt(static_cast<size_t>(found - m_options.servers.begin()), std::move(request));
}

absl::StatusOr<Answer> Connection::attempt(size_t index, http::Request request)
{
    const std::string &server = m_options.servers[index];
    if (!m_options.token.empty())
        request.headers.set("Authorization", "Bearer " + m_options.token);
    if (!request.body.empty())
        request.headers.set("Content-Type", "application/json");
    std::optional<absl::StatusOr<http::Response>> outcome;
    m_clients[index]->send(
            std::move(request), std::min(m_deadline, BootClock::now() + attemptLimit),
            [&outcome](absl::StatusOr<http::Response> response) { outcome = std::move(response); });
    m_context.restart();
    while (!outcome && m_context.run_one() > 0) {
    }
    if (!outcome)
        return makeError(Failure::Internal, "the HTTP client gave no outcome");
    if (!outcome->ok())
        return atServer(server, outcome->status());
    return readResponse(server, **outcome);
}

std::vector<std::string> splitServers(const std::string &text)
{
    std::vector<std::string> servers;
    size_t begin = 0;
    while (begin <= text.size()) {
        const size_t end = std::min(text.find(',', begin), text.size());
        if (end > begin)
            servers.push_back(text.substr(begin, end - begin));
        begin = end + 1;
    }
    return servers;
}

std::string escapedSegment(const std::string &id)
{
    std::string escaped;
    for (const char character : id) {
        const auto byte = static_cast<unsigned char>(character);
        if (std::isalnum(byte) || character == '-' || character == '.' || character == '_'
            || character == '~')
            escaped += character;
        else
            absl::StrAppendFormat(&escaped, "%%%02X", byte);
    }
    return escaped;
}

} // namespace cwl::client
