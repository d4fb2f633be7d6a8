// What the tests of the stand-ins share: short forms for calls that must succeed.

#pragma once

#include "base/json.h"
#include "harness/harness.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace standinstest {

using cwl::BootClock;
using cwl::milliseconds;
using cwl::seconds;
using cwl::harness::loopback;
using cwl::harness::patience;
using cwl::harness::waitUntil;

inline Json::Value json(const std::string &text)
{
    const auto value = cwl::parseJson(text);
    CPPUNIT_ASSERT_MESSAGE(text, value.ok());
    return *value;
}

inline Json::Value get(const std::string &address, const std::string &path)
{
    const auto answer = cwl::harness::getJson(address, path);
    CPPUNIT_ASSERT_MESSAGE(answer.status().ToString(), answer.ok());
    CPPUNIT_ASSERT_EQUAL(200, answer->status);
    return answer->body;
}

inline Json::Value post(const std::string &address, const std::string &path,
                        const Json::Value &body, int status = 200)
{
    const auto answer = cwl::harness::postJson(address, path, body);
    CPPUNIT_ASSERT_MESSAGE(answer.status().ToString(), answer.ok());
    CPPUNIT_ASSERT_EQUAL(status, answer->status);
    return answer->body;
}

inline Json::Value post(const std::string &address, const std::string &path, const char *body,
                        int status = 200)
{
    return post(address, path, json(body), status);
}

} // namespace standinstest
