#include "control/content_cache.h"

#include <algorithm>
#include <utility>

#include "config/digest.h"
#include "control/config_root.h"

namespace tanagerloom {

namespace {

// The object API accepts values of up to 1 MB.
constexpr std::size_t kMaxPartBytes = 900UL * 1000;
constexpr int kMaxWriteAttempts = 4;

std::string ContentKey(const std::string& hash) {
  return std::string(kConfigContentPrefix) + hash;
}

bool MayHaveTakenEffect(ErrorKind kind) {
  return kind == ErrorKind::kUnknown || kind == ErrorKind::kTimeout;
}

}  // namespace

std::vector<std::string_view> SplitContent(std::string_view text) {
  std::vector<std::string_view> out;
  do {
    out.push_back(text.substr(0, kMaxPartBytes));
    text.remove_prefix(out.back().size());
  } while (!text.empty());
  return out;
}

Result<std::vector<std::string>> ContentCache::Write(std::string_view text) {
  std::vector<std::string> hashes;
  for (const auto part : SplitContent(text)) {
    hashes.push_back(Sha256Hex(part));
    BOOST_OUTCOME_TRYV(WritePart(hashes.back(), part));
    texts_.insert_or_assign(hashes.back(), std::string(part));
  }
  return hashes;
}

Result<void> ContentCache::WritePart(const std::string& hash,
                                     std::string_view text) {
  for (int i = 1;; ++i) {
    const auto put = store_.Put(ContentKey(hash), text, 0);
    // A conflict means that the object exists. It then has this content, since
    // its key is the hash of the content.
    if (put || put.error().kind == ErrorKind::kConflict) {
      return BOOST_OUTCOME_V2_NAMESPACE::success();
    }
    if (i == kMaxWriteAttempts || !MayHaveTakenEffect(put.error().kind)) {
      return MakeError(ErrorKind::kUnavailable, put.error().message);
    }
  }
}

Result<std::string> ContentCache::ReadPart(const std::string& hash) {
  if (const auto* text = Find(hash)) {
    return *text;
  }
  BOOST_OUTCOME_TRY(object, store_.Get(ContentKey(hash)));
  if (Sha256Hex(object.value) != hash) {
    return MakeError(ErrorKind::kInternal,
                     "content object " + hash + " does not match its hash");
  }
  texts_.insert_or_assign(hash, object.value);
  return std::move(object.value);
}

Result<std::string> ContentCache::Read(const std::vector<std::string>& hashes) {
  std::string out;
  for (const auto& it : hashes) {
    BOOST_OUTCOME_TRY(text, ReadPart(it));
    out += text;
  }
  return out;
}

Result<std::shared_ptr<const OperatorFile>> ContentCache::ReadFile(
    const std::vector<std::string>& hashes) {
  if (const auto it = files_.find(hashes); it != files_.end()) {
    return it->second;
  }
  BOOST_OUTCOME_TRY(text, Read(hashes));
  auto parsed = ParseOperatorFile(text);
  if (!parsed.problems.empty()) {
    return MakeError(ErrorKind::kInternal,
                     "an accepted file is invalid for this program version: " +
                         ToText(parsed.problems));
  }
  auto file = std::make_shared<const OperatorFile>(std::move(parsed.file));
  files_.insert_or_assign(hashes, file);
  return file;
}

std::optional<std::string> ContentCache::ReadCached(
    const std::vector<std::string>& hashes) const {
  std::string out;
  for (const auto& it : hashes) {
    const auto* text = Find(it);
    if (text == nullptr) {
      return std::nullopt;
    }
    out += *text;
  }
  return out;
}

void ContentCache::AddText(std::string_view text) {
  for (const auto part : SplitContent(text)) {
    texts_.insert_or_assign(Sha256Hex(part), std::string(part));
  }
}

void ContentCache::Add(const std::string& hash, std::string text) {
  if (Sha256Hex(text) == hash) {
    texts_.insert_or_assign(hash, std::move(text));
  }
}

const std::string* ContentCache::Find(const std::string& hash) const {
  const auto it = texts_.find(hash);
  return it == texts_.end() ? nullptr : &it->second;
}

void ContentCache::RetainOnly(const std::set<std::string>& hashes) {
  std::erase_if(texts_,
                [&](const auto& it) { return !hashes.contains(it.first); });
  std::erase_if(files_, [&](const auto& it) {
    return !std::all_of(
        it.first.begin(), it.first.end(),
        [&](const auto& hash) { return hashes.contains(hash); });
  });
}

}  // namespace tanagerloom
