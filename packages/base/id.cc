#include "base/id.h"

#include <cstdio>
#include <random>

namespace tanagerloom {

namespace {

std::mt19937_64& Generator() {
  static std::mt19937_64 generator = [] {
    std::random_device device;
    std::seed_seq seed{device(), device(), device(), device()};
    return std::mt19937_64(seed);
  }();
  return generator;
}

}  // namespace

std::string NewId(std::string_view prefix) {
  char buf[17];
  std::snprintf(buf, sizeof(buf), "%016llx",
                static_cast<unsigned long long>(RandomU64()));
  return std::string(prefix) + buf;
}

std::uint64_t RandomU64() {
  return Generator()();
}

double RandomUnit() {
  return std::uniform_real_distribution<double>(0.0, 1.0)(Generator());
}

std::uint64_t StableHash(std::string_view text) {
  StableHasher hasher;
  hasher.Add(text);
  return hasher.Value();
}

void StableHasher::Add(std::string_view text) {
  constexpr std::uint64_t kFnvPrime = 1099511628211ULL;
  for (const char c : text) {
    hash_ = (hash_ ^ static_cast<unsigned char>(c)) * kFnvPrime;
  }
}

std::uint64_t StableHasher::Value() const {
  std::uint64_t hash = hash_;
  // FNV-1a leaves the high bits of short keys correlated; mix them.
  hash ^= hash >> 33;
  hash *= 0xff51afd7ed558ccdULL;
  hash ^= hash >> 33;
  return hash;
}

}  // namespace tanagerloom
