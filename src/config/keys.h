// Callers' keys, which have the form "cp_ID_SECRET". The log stream holds only the salted SHA-256
// hash of a secret. Presented keys must never be written to log output.
#pragma once

#include "base/result.h"
#include "config/config_change.h"
#include "config/config_state.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace cardamompaddle {

// Number of random bytes that createKey needs: 8 for the id, 16 for the salt, 32 for the secret.
inline constexpr size_t KeyRandomBytes = 56;

// A new key and the change that stores it.
struct NewKey
{
    std::string fullKey; // the whole key, shown to the caller once and not stored
    KeyCreate record;
};

// Creates a key for `team`. `random` must come from a cryptographic random generator. Errors:
// InvalidArgument if the number of bytes is not KeyRandomBytes.
Result<NewKey> createKey(std::string_view team, std::span<const uint8_t> random);

// Returns the team of a presented key. Errors: Unauthenticated if the key is malformed, unknown or
// withdrawn, with one reason for all, so that answers do not reveal which key ids exist;
// PermissionDenied if its team is no longer in the tables. For a well-formed key, an unknown id
// costs as much as a known one.
Result<std::string> verifyKey(const ConfigState &state, std::string_view presented);

// Lower-case hexadecimal SHA-256 of `text`.
std::string sha256Hex(std::string_view text);
// Compares in a time that depends only on the lengths, not on the contents.
bool equalInConstantTime(std::string_view a, std::string_view b);

} // namespace cardamompaddle
