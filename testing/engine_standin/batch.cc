#include "testing/engine_standin/batch.h"

#include "testing/support/engine_text.h"
#include "testing/support/standin.h"

namespace tanagerloom::testing_support {

namespace {

constexpr auto kSlotPollInterval = std::chrono::milliseconds(50);
// Time for which a generation can be found after its end, so that a client can
// still resume its stream.
constexpr double kGenerationRetentionMs = 30000;

}  // namespace

Batch::Batch(const Flags& flags,
             TestControl& control,
             Ledger& ledger,
             std::function<void()> crash)
    : control_(control),
      ledger_(ledger),
      crash_(std::move(crash)),
      capacity_(static_cast<int>(flags.Number("capacity", 16))),
      max_waiting_(static_cast<std::size_t>(flags.Number("max-waiting", 1000))),
      token_ms_(1000 / flags.Number("tokens-per-s", 500)),
      prefill_ms_per_block_(flags.Number("prefill-ms-per-block", 1)),
      prefixes_(flags),
      lagging_load_(LoadJson()) {
  const double lag_ms = flags.Number("report-lag-ms", 200);
  Spawn([this, lag_ms] {
    while (true) {
      auto load = LoadJson();
      SleepMs(std::max(1.0, lag_ms));
      lagging_load_ = std::move(load);
    }
  });
}

nlohmann::json Batch::LoadJson() const {
  return {{"running", running_},
          {"waiting", waiting_.size()},
          {"capacity", capacity_}};
}

bool Batch::Start(const std::shared_ptr<Generation>& generation) {
  if (waiting_.size() >= max_waiting_) {
    return false;
  }
  generations_[generation->request_id] = generation;
  ++generation->replica->running;
  ledger_.Add("request", {{"request_id", generation->request_id},
                          {"model", generation->model},
                          {"order", generation->replica->order},
                          {"prompt", generation->prompt.substr(0, 200)},
                          {"stream", generation->stream}});
  Spawn([this, generation] { Run(generation); });
  return true;
}

std::shared_ptr<Generation> Batch::Find(const std::string& request_id) const {
  const auto it = generations_.find(request_id);
  return it == generations_.end() ? nullptr : it->second;
}

void Batch::CrashAll() {
  for (const auto& [id, generation] : generations_) {
    if (!generation->HasEnded()) {
      generation->crashed = true;
      generation->changed.Signal();
    }
  }
  generations_.clear();
  prefixes_.Clear();
  slots_changed_.Signal();
}

void Batch::Run(const std::shared_ptr<Generation>& generation) {
  if (WaitForSlot(generation)) {
    Generate(*generation);
    --running_;
    slots_changed_.Signal();
  }
  --generation->replica->running;
  ledger_.Add("request_ended", {{"request_id", generation->request_id},
                                {"completed", generation->completed},
                                {"cancelled", generation->cancelled},
                                {"tokens", generation->tokens.size()}});
  generation->changed.Signal();
  SleepMs(kGenerationRetentionMs);
  if (Find(generation->request_id) == generation) {
    generations_.erase(generation->request_id);
  }
}

bool Batch::WaitForSlot(const std::shared_ptr<Generation>& generation) {
  const auto position =
      waiting_.emplace(generation->priority, generation.get());
  while (!generation->HasEnded() &&
         (running_ >= capacity_ || waiting_.begin() != position)) {
    slots_changed_.WaitUntil(
        slots_changed_.count(),
        std::chrono::steady_clock::now() + kSlotPollInterval);
  }
  waiting_.erase(position);
  if (generation->HasEnded()) {
    return false;
  }
  ++running_;
  slots_changed_.Signal();
  return true;
}

void Batch::Generate(Generation& generation) {
  if (generation.prompt.find("CRASH_ENGINE") != std::string::npos) {
    crash_();
    return;
  }
  SleepMs(prefill_ms_per_block_ *
          prefixes_.AddPrompt(generation.model, generation.prompt));
  for (int i = 0; i < generation.max_tokens && !generation.HasEnded(); ++i) {
    SleepMs(token_ms_ * control_.Number("slow_factor"));
    generation.tokens.push_back(
        EngineToken(generation.model, generation.prompt, i));
    generation.changed.Signal();
  }
  generation.completed = !generation.HasEnded();
}

}  // namespace tanagerloom::testing_support
