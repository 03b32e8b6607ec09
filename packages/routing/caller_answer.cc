#include "routing/caller_answer.h"

#include <utility>

#include "base/event_log.h"
#include "base/events.h"

namespace tanagerloom {

CallerAnswer::CallerAnswer(HttpResponder& responder,
                           RequestRecord& record,
                           EventLog& log)
    : responder_(responder), record_(record), log_(log) {}

void CallerAnswer::AddHeaders(HttpHeaders& headers) const {
  headers.Set("X-Request-Id", record_.id());
  if (cold_wait_.count() > 0) {
    headers.Set("X-Cold-Wait-Ms", std::to_string(cold_wait_.count()));
  }
}

bool CallerAnswer::Send(HttpResponse response) {
  record_.OnAnswer(Verdict::kRan);
  started_ = true;
  const int status = response.status;
  bytes_written_ = response.body.size();
  AddHeaders(response.headers);
  gone_ = !responder_.Send(std::move(response));
  log_.Record(
      events::kRequestAnswered,
      {{"request", record_.id()}, {"status", status}, {"delivered", !gone_}});
  return !gone_;
}

void CallerAnswer::Refuse(Refusal refusal) {
  if (refusal.verdict == Verdict::kNotRun) {
    refusal.verdict = record_.verdict();
  }
  record_.OnAnswer(refusal.verdict);
  started_ = true;
  log_.Record(events::kRequestRefused,
              {{"request", record_.id()},
               {"code", refusal.code},
               {"verdict", VerdictName(refusal.verdict)}});
  auto response = RefusalResponse(refusal);
  AddHeaders(response.headers);
  gone_ = !responder_.Send(std::move(response));
}

bool CallerAnswer::StartStream(int status, HttpHeaders headers) {
  record_.OnAnswer(Verdict::kRan);
  started_ = true;
  AddHeaders(headers);
  gone_ = !responder_.StartStream(status, std::move(headers));
  return !gone_;
}

bool CallerAnswer::Write(std::string_view bytes) {
  bytes_written_ += bytes.size();
  gone_ = gone_ || !responder_.Write(bytes);
  return !gone_;
}

void CallerAnswer::Finish() {
  gone_ = gone_ || !responder_.Finish();
  log_.Record(
      events::kRequestAnswered,
      {{"request", record_.id()}, {"status", 200}, {"delivered", !gone_}});
}

void CallerAnswer::BreakStream(const Refusal& refusal) {
  log_.Record(events::kRequestRefused,
              {{"request", record_.id()},
               {"code", refusal.code},
               {"verdict", VerdictName(refusal.verdict)}});
  if (!caller_gone()) {
    Write("data: " + RefusalBody(refusal) + "\n\n");
  }
  responder_.Abort();
}

void CallerAnswer::CallerGone() {
  record_.OnCallerGone();
  gone_ = true;
  log_.Record(events::kClientGone, {{"request", record_.id()},
                                    {"dispatches", record_.dispatches()}});
  responder_.Abort();
}

}  // namespace tanagerloom
