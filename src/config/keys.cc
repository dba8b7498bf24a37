#include "config/keys.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>

#include <array>

namespace cardamompaddle {
namespace {

constexpr std::string_view Prefix = "cp_";
constexpr size_t IdDigits = 16;
constexpr size_t SecretDigits = 64;
constexpr size_t KeyLength = Prefix.size() + IdDigits + 1 + SecretDigits;

std::string toHex(std::span<const uint8_t> bytes)
{
    constexpr std::string_view Digits = "0123456789abcdef";
    std::string text;
    text.reserve(2 * bytes.size());
    for (const uint8_t it : bytes) {
        text.push_back(Digits[it >> 4]);
        text.push_back(Digits[it & 15]);
    }
    return text;
}

std::string hashSecret(std::string_view salt, std::string_view secret)
{
    std::string text(salt);
    text.append(secret);
    std::string hash = sha256Hex(text);
    OPENSSL_cleanse(text.data(), text.size());
    return hash;
}

} // namespace

std::string sha256Hex(std::string_view text)
{
    std::array<uint8_t, EVP_MAX_MD_SIZE> digest{};
    unsigned int length = 0;
    const int succeeded =
        EVP_Digest(text.data(), text.size(), digest.data(), &length, EVP_sha256(), nullptr);
    invariant(succeeded == 1, "I3 a key is verified by its hash", "EVP_Digest failed");
    return toHex(std::span(digest).first(length));
}

bool equalInConstantTime(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

Result<NewKey> createKey(std::string_view team, std::span<const uint8_t> random)
{
    if (random.size() != KeyRandomBytes) {
        return Error{ErrorCode::InvalidArgument,
                     "a key needs " + std::to_string(KeyRandomBytes) + " random bytes"};
    }
    const std::string secret = toHex(random.subspan(24, 32));
    NewKey key;
    key.record.id = toHex(random.first(8));
    key.record.team = team;
    key.record.salt = toHex(random.subspan(8, 16));
    key.record.hash = hashSecret(key.record.salt, secret);
    key.fullKey = std::string(Prefix) + key.record.id + "_" + secret;
    return key;
}

Result<std::string> verifyKey(const ConfigState &state, std::string_view presented)
{
    // The same error for all causes, so that answers do not reveal which ids exist.
    const Error invalidKey{ErrorCode::Unauthenticated, "the key is not valid"};
    if (presented.size() != KeyLength || !presented.starts_with(Prefix)
        || presented[Prefix.size() + IdDigits] != '_')
        return invalidKey;
    const auto it = state.keys().find(std::string(presented.substr(Prefix.size(), IdDigits)));
    const bool known = it != state.keys().end();
    // An unknown id is hashed too, so that the time does not reveal whether the id exists.
    static const KeyEntry placeholder{"", std::string(32, '0'), std::string(64, '0'), 0};
    const KeyEntry &entry = known ? it->second : placeholder;
    const std::string_view secret = presented.substr(KeyLength - SecretDigits);
    const bool matches = equalInConstantTime(hashSecret(entry.salt, secret), entry.hash);
    if (!known || !matches || entry.withdrawn())
        return invalidKey;
    if (!state.tables().teams.contains(entry.team)) {
        return Error{ErrorCode::PermissionDenied,
                     "team \"" + entry.team + "\" is not in the tables"};
    }
    return entry.team;
}

} // namespace cardamompaddle
