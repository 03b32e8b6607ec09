// Defines StoreEra, which tells when the object store has come back from an
// older copy of itself.
#ifndef PORTS_STORE_ERA_H_
#define PORTS_STORE_ERA_H_

#include <cstdint>
#include <functional>
#include <utility>
#include <vector>

namespace tanagerloom {

/// The era of the object store, which rises each time the store is restored
/// from a copy. Writes since that copy are then lost, and its revisions are
/// given out again: a revision means something only within one era. A store
/// that has no eras stays in era 0.
///
/// The client of the store observes the era of each answer and fails calls
/// whose answer is of an older era than current(), or whose parts are of
/// several. What a successful call returns is therefore the store's state in
/// era current(), as long as the caller has not suspended its fiber since.
class StoreEra {
 public:
  using Handler = std::function<void()>;

  StoreEra() = default;
  StoreEra(const StoreEra&) = delete;
  StoreEra& operator=(const StoreEra&) = delete;

  /// The highest era observed.
  std::uint32_t current() const { return current_; }

  /// Takes the era that an answer or a peer states. Returns false if it is
  /// older than the current one, so that what came with it must be ignored.
  bool Observe(std::uint32_t era) {
    if (era > current_) {
      previous_ = std::exchange(current_, era);
      for (const auto& it : handlers_) {
        it();
      }
    }
    return era == current_;
  }

  /// The era before the current one.
  std::uint32_t previous() const { return previous_; }

  /// Adds a handler that is called when the era rises, before the answer that
  /// stated the new era is returned. It must not suspend its fiber.
  void OnChanged(Handler handler) { handlers_.push_back(std::move(handler)); }

 private:
  std::uint32_t current_ = 0;
  std::uint32_t previous_ = 0;
  std::vector<Handler> handlers_;
};

}  // namespace tanagerloom

#endif  // PORTS_STORE_ERA_H_
