#include "routing/request_record.h"

#include <utility>

#include "base/invariant.h"

namespace tanagerloom {

RequestRecord::RequestRecord(std::string id, bool retryable)
    : id_(std::move(id)), retryable_(retryable) {}

RequestRecord::~RequestRecord() {
  CheckInvariantLazy(
      answers_ == 1 || client_gone_, "one_answer_per_request", [&] {
        return nlohmann::json{{"request", id_}, {"answers", answers_}};
      });
}

bool RequestRecord::MayDispatch() const {
  return answers_ == 0 && (retryable_ || dispatches_ == not_run_);
}

void RequestRecord::OnDispatch() {
  CheckInvariantLazy(answers_ == 0, "no_dispatch_after_answer", [&] {
    return nlohmann::json{{"request", id_}};
  });
  CheckInvariantLazy(retryable_ || dispatches_ == not_run_,
                     "at_most_one_dispatch", [&] {
                       return nlohmann::json{{"request", id_},
                                             {"dispatches", dispatches_},
                                             {"not_run", not_run_}};
                     });
  ++dispatches_;
}

void RequestRecord::OnVerdict(Verdict verdict) {
  not_run_ += verdict == Verdict::kNotRun ? 1 : 0;
  CheckInvariantLazy(not_run_ <= dispatches_, "one_verdict_per_dispatch", [&] {
    return nlohmann::json{
        {"request", id_}, {"dispatches", dispatches_}, {"not_run", not_run_}};
  });
}

void RequestRecord::OnAnswer(Verdict verdict) {
  ++answers_;
  CheckInvariantLazy(answers_ == 1, "one_answer_per_request", [&] {
    return nlohmann::json{{"request", id_}, {"answers", answers_}};
  });
  CheckInvariantLazy(verdict != Verdict::kNotRun || dispatches_ == not_run_,
                     "not_run_refusal_is_true", [&] {
                       return nlohmann::json{{"request", id_},
                                             {"dispatches", dispatches_},
                                             {"not_run", not_run_}};
                     });
}

Verdict RequestRecord::verdict() const {
  return dispatches_ == not_run_ ? Verdict::kNotRun : Verdict::kMayHaveRun;
}

}  // namespace tanagerloom
