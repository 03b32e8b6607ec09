#include "routing/client_answer.h"

#include <utility>

#include "base/event_log.h"
#include "base/events.h"

namespace tanagerloom {

ClientAnswer::ClientAnswer(HttpResponder& responder,
                           RequestRecord& record,
                           EventLog& log)
    : responder_(responder), record_(record), log_(log) {}

void ClientAnswer::AddHeaders(HttpHeaders& headers) const {
  headers.Set("X-Request-Id", record_.id());
  if (cold_wait_.count() > 0) {
    headers.Set("X-Cold-Wait-Ms", std::to_string(cold_wait_.count()));
  }
}

bool ClientAnswer::Send(HttpResponse response) {
  record_.OnAnswer(Verdict::kRan);
  started_ = true;
  const int status = response.status;
  bytes_written_ = response.body.size();
  AddHeaders(response.headers);
  client_gone_ = !responder_.Send(std::move(response));
  log_.Record(events::kRequestAnswered, {{"request", record_.id()},
                                         {"status", status},
                                         {"delivered", !client_gone_}});
  return !client_gone_;
}

void ClientAnswer::Refuse(Refusal refusal) {
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
  client_gone_ = !responder_.Send(std::move(response));
}

bool ClientAnswer::StartStream(int status, HttpHeaders headers) {
  record_.OnAnswer(Verdict::kRan);
  started_ = true;
  AddHeaders(headers);
  client_gone_ = !responder_.StartStream(status, std::move(headers));
  return !client_gone_;
}

bool ClientAnswer::Write(std::string_view bytes) {
  bytes_written_ += bytes.size();
  client_gone_ = client_gone_ || !responder_.Write(bytes);
  return !client_gone_;
}

void ClientAnswer::Finish() {
  client_gone_ = client_gone_ || !responder_.Finish();
  log_.Record(events::kRequestAnswered, {{"request", record_.id()},
                                         {"status", 200},
                                         {"delivered", !client_gone_}});
}

void ClientAnswer::AbortStream(const Refusal& refusal) {
  log_.Record(events::kRequestRefused,
              {{"request", record_.id()},
               {"code", refusal.code},
               {"verdict", VerdictName(refusal.verdict)}});
  if (!IsClientGone()) {
    Write("data: " + RefusalBody(refusal) + "\n\n");
  }
  responder_.Abort();
}

void ClientAnswer::Abandon() {
  record_.OnClientGone();
  client_gone_ = true;
  log_.Record(events::kClientGone, {{"request", record_.id()},
                                    {"dispatches", record_.dispatches()}});
  responder_.Abort();
}

}  // namespace tanagerloom
