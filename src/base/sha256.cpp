#include "base/sha256.h"

#include <absl/strings/escaping.h>
#include <openssl/evp.h>

#include <array>

namespace cwl {

std::string sha256Hex(const std::string &text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int length = 0;
    EVP_Digest(text.data(), text.size(), digest.data(), &length, EVP_sha256(), nullptr);
    return absl::BytesToHexString(std::string(digest.begin(), digest.begin() + length));
}

} // namespace cwl
