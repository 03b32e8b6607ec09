#include "membership/envelope.h"

#include <cmath>
#include <type_traits>

#include "wire/generated/peer_generated.h"
#include "wire/verified_envelope.h"

namespace tanagerloom {

namespace {

using Builder = flatbuffers::FlatBufferBuilder;

constexpr std::size_t kInitialBuilderBytes = 256;

std::string ToString(const flatbuffers::String* text) {
  return text == nullptr ? std::string() : text->str();
}

std::string BytesToString(const flatbuffers::Vector<std::uint8_t>* bytes) {
  if (bytes == nullptr) {
    return {};
  }
  return {reinterpret_cast<const char*>(bytes->data()), bytes->size()};
}

std::vector<std::string> ToStrings(
    const flatbuffers::Vector<flatbuffers::Offset<flatbuffers::String>>*
        texts) {
  std::vector<std::string> out;
  if (texts != nullptr) {
    out.reserve(texts->size());
    for (const auto* it : *texts) {
      out.push_back(it->str());
    }
  }
  return out;
}

// Returns offset 0 for an empty string, so that the field is omitted and takes
// no bytes.
flatbuffers::Offset<flatbuffers::String> PutString(Builder& builder,
                                                   const std::string& text) {
  return text.empty() ? flatbuffers::Offset<flatbuffers::String>()
                      : builder.CreateString(text);
}

auto PutBytes(Builder& builder, const std::string& bytes) {
  return builder.CreateVector(
      reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
}

auto PutStrings(Builder& builder, const std::vector<std::string>& texts) {
  using Offset = flatbuffers::Offset<
      flatbuffers::Vector<flatbuffers::Offset<flatbuffers::String>>>;
  return texts.empty() ? Offset() : builder.CreateVectorOfStrings(texts);
}

// Encodes the body of an envelope; returns its union type and offset.
struct BodyEncoder {
  using Encoded = std::pair<wire::Body, flatbuffers::Offset<void>>;

  Builder& builder;

  Encoded operator()(const std::monostate&) const {
    return {wire::Body::NONE, {}};
  }
  Encoded operator()(const Hello& body) const {
    const auto challenge = PutBytes(builder, body.challenge);
    return {wire::Body::Hello,
            wire::CreateHello(builder, challenge, body.mesh).Union()};
  }
  Encoded operator()(const Challenge& body) const {
    const auto challenge = PutBytes(builder, body.challenge);
    return {wire::Body::Challenge,
            wire::CreateChallenge(builder, challenge).Union()};
  }
  Encoded operator()(const Proof& body) const {
    const auto mac = PutBytes(builder, body.mac);
    return {wire::Body::Proof, wire::CreateProof(builder, mac).Union()};
  }
  Encoded operator()(const Heartbeat& body) const {
    return {wire::Body::Heartbeat,
            wire::CreateHeartbeat(builder, body.config_version).Union()};
  }
  Encoded operator()(const Digest& body) const {
    std::vector<flatbuffers::Offset<wire::LinkState>> entries;
    entries.reserve(body.entries.size());
    for (const auto& it : body.entries) {
      const auto node = PutString(builder, it.node);
      const auto incarnation = PutString(builder, it.incarnation);
      const auto added = PutStrings(builder, it.added);
      const auto removed = PutStrings(builder, it.removed);
      entries.push_back(wire::CreateLinkState(builder, node, incarnation,
                                              it.version, it.full, it.leaving,
                                              it.gone, added, removed));
    }
    const auto list = builder.CreateVector(entries);
    return {wire::Body::Digest, wire::CreateDigest(builder, list).Union()};
  }
  Encoded operator()(const DigestRequest&) const {
    return {wire::Body::DigestRequest,
            wire::CreateDigestRequest(builder).Union()};
  }
  Encoded operator()(const PeerMessage& message) const {
    return std::visit(*this, message);
  }
  Encoded operator()(const Demand& body) const {
    std::vector<flatbuffers::Offset<wire::DemandEntry>> entries;
    entries.reserve(body.entries.size());
    for (const auto& it : body.entries) {
      const auto model = PutString(builder, it.model);
      const auto version = PutString(builder, it.version);
      const auto adapter = PutString(builder, it.adapter);
      entries.push_back(wire::CreateDemandEntry(
          builder, model, version, adapter, it.waiting, it.running, it.rank,
          it.earliest_deadline_ms, it.arrivals, it.prompt_tokens));
    }
    const auto cell = PutString(builder, body.cell);
    const auto list = builder.CreateVector(entries);
    return {wire::Body::Demand,
            wire::CreateDemand(builder, cell, body.number, list).Union()};
  }
  Encoded operator()(const DemandAck& body) const {
    const auto cell = PutString(builder, body.cell);
    return {wire::Body::DemandAck,
            wire::CreateDemandAck(builder, cell, body.number).Union()};
  }
  Encoded operator()(const RecordUpdate& body) const {
    const auto cell = PutString(builder, body.cell);
    const auto record = PutString(builder, body.record);
    return {wire::Body::RecordUpdate,
            wire::CreateRecordUpdate(builder, cell, body.object_version, record)
                .Union()};
  }
  Encoded operator()(const ConfigUpdate& body) const {
    const auto root = PutString(builder, body.root);
    return {wire::Body::ConfigUpdate,
            wire::CreateConfigUpdate(builder, body.version, body.object_version,
                                     root)
                .Union()};
  }
  Encoded operator()(const ConfigRequest& body) const {
    return {wire::Body::ConfigRequest,
            wire::CreateConfigRequest(builder, body.known_version).Union()};
  }
  Encoded operator()(const EndpointNotice& body) const {
    const auto endpoint = PutString(builder, body.endpoint);
    return {wire::Body::EndpointNotice,
            wire::CreateEndpointNotice(
                builder, endpoint, static_cast<std::uint8_t>(body.condition),
                body.valid_ms, body.boot)
                .Union()};
  }
  Encoded operator()(const EndpointUse& body) const {
    const auto endpoints = PutStrings(builder, body.endpoints);
    const auto in_progress = builder.CreateVector(body.in_progress);
    const auto prompt_tokens = builder.CreateVector(body.prompt_tokens);
    return {
        wire::Body::EndpointUse,
        wire::CreateEndpointUse(builder, endpoints, in_progress, prompt_tokens)
            .Union()};
  }
  Encoded operator()(const CrashNotice& body) const {
    std::vector<std::uint64_t> ids;
    std::vector<std::uint32_t> ages_ms;
    for (const auto& it : body.observed) {
      ids.push_back(it.id);
      ages_ms.push_back(it.age_ms);
    }
    const auto wire_ids = builder.CreateVector(ids);
    const auto wire_ages = builder.CreateVector(ages_ms);
    return {wire::Body::CrashNotice,
            wire::CreateCrashNotice(builder, body.fingerprint, body.crashes,
                                    body.valid_ms, body.prompt_part, wire_ids,
                                    wire_ages)
                .Union()};
  }
  Encoded operator()(const OrderDone& body) const {
    const auto cell = PutString(builder, body.cell);
    const auto engine = PutString(builder, body.engine);
    const auto order = PutString(builder, body.order);
    return {wire::Body::Done,
            wire::CreateDone(builder, cell, engine, order).Union()};
  }
  Encoded operator()(const LeaseNotice& body) const {
    const auto holder = PutString(builder, body.holder);
    return {wire::Body::LeaseNotice,
            wire::CreateLeaseNotice(builder, holder, body.fence, body.revision,
                                    body.released, body.era)
                .Union()};
  }
  Encoded operator()(const QuotaReport& body) const {
    std::vector<wire::QuotaNeed> needs;
    needs.reserve(body.needs.size());
    for (const auto& it : body.needs) {
      needs.emplace_back(it.customer, it.held, it.pending, it.returned,
                         it.wanted, it.urgent);
    }
    const auto list = builder.CreateVectorOfStructs(needs);
    return {wire::Body::QuotaReport,
            wire::CreateQuotaReport(builder, body.number, body.last_grant,
                                    body.votes, body.vote_ms, list)
                .Union()};
  }
  Encoded operator()(const QuotaGrant& body) const {
    std::vector<wire::QuotaAllowance> allowances;
    allowances.reserve(body.allowances.size());
    for (const auto& it : body.allowances) {
      allowances.emplace_back(it.customer, it.granted, it.room_ms);
    }
    const auto list = builder.CreateVectorOfStructs(allowances);
    return {wire::Body::QuotaGrant,
            wire::CreateQuotaGrant(builder, body.number, body.report,
                                   body.reply_at_once, list)
                .Union()};
  }
  Encoded operator()(const LoadEstimate& body) const {
    const auto service = PutString(builder, body.service);
    const auto models = PutStrings(builder, body.models);
    const auto ready = builder.CreateVector(body.ready_in_ms);
    return {wire::Body::LoadOutlook,
            wire::CreateLoadEstimate(builder, service, body.fence, body.number,
                                     models, ready)
                .Union()};
  }
  flatbuffers::Offset<wire::WaitingReport> PutReport(
      const WaitingReport& report) const {
    std::vector<flatbuffers::Offset<wire::WaitingClass>> classes;
    classes.reserve(report.classes.size());
    for (const auto& it : report.classes) {
      const auto model = PutString(builder, it.model);
      classes.push_back(
          wire::CreateWaitingClass(builder, model, it.priority, it.waiting));
    }
    std::vector<flatbuffers::Offset<wire::CustomerShare>> shares;
    shares.reserve(report.shares.size());
    for (const auto& it : report.shares) {
      const auto customer = PutString(builder, it.customer);
      shares.push_back(wire::CreateCustomerShare(builder, customer, it.priority,
                                                 it.waiting, it.served));
    }
    const auto service = PutString(builder, report.service);
    const auto class_list = builder.CreateVector(classes);
    const auto share_list = builder.CreateVector(shares);
    return wire::CreateWaitingReport(builder, service, class_list, share_list);
  }
  Encoded operator()(const WaitingReport& body) const {
    return {wire::Body::WaitingReport, PutReport(body).Union()};
  }
  Encoded operator()(const WaitingSummary& body) const {
    const auto sum = PutReport(body.sum);
    return {wire::Body::WaitingSummary,
            wire::CreateWaitingSummary(builder, body.fence, body.number, sum)
                .Union()};
  }
  Encoded operator()(const SharedLoads& body) const {
    std::vector<wire::SharedLoad> loads;
    loads.reserve(body.loads.size());
    for (const auto& it : body.loads) {
      loads.emplace_back(it.endpoint_start, it.in_flight,
                         it.slowness_hundredths, it.age_ms);
    }
    const auto list = builder.CreateVectorOfStructs(loads);
    return {wire::Body::SharedLoads,
            wire::CreateSharedLoads(builder,
                                    static_cast<std::uint8_t>(body.stage), list)
                .Union()};
  }
  Encoded operator()(const LoadedModelsNotice& body) const {
    std::vector<flatbuffers::Offset<wire::LoadedModel>> models;
    models.reserve(body.models.size());
    for (const auto& it : body.models) {
      const auto model = PutString(builder, it.model);
      const auto adapters = PutStrings(builder, it.adapters);
      models.push_back(wire::CreateLoadedModel(builder, model, adapters));
    }
    const auto endpoint = PutString(builder, body.endpoint);
    const auto list = builder.CreateVector(models);
    return {wire::Body::HoldingsNotice,
            wire::CreateLoadedModelsNotice(builder, endpoint, body.boot,
                                           body.fence, body.number, list)
                .Union()};
  }
};

Digest DecodeDigest(const wire::Digest& body) {
  Digest out;
  if (body.entries() != nullptr) {
    for (const auto* it : *body.entries()) {
      out.entries.push_back({ToString(it->node()), ToString(it->incarnation()),
                             it->version(), it->full(), it->leaving(),
                             it->gone(), ToStrings(it->added()),
                             ToStrings(it->removed())});
    }
  }
  return out;
}

Demand DecodeDemand(const wire::Demand& body) {
  Demand out{ToString(body.cell()), body.number(), {}};
  if (body.entries() != nullptr) {
    for (const auto* it : *body.entries()) {
      out.entries.push_back(
          {ToString(it->model()), ToString(it->version()),
           ToString(it->adapter()), it->waiting(), it->running(), it->rank(),
           it->earliest_deadline_ms(), it->arrivals(), it->prompt_tokens()});
    }
  }
  return out;
}

Result<EnvelopeBody> DecodeLoadEstimate(const wire::LoadEstimate& body) {
  LoadEstimate out{ToString(body.service()),
                   body.fence(),
                   body.number(),
                   ToStrings(body.models()),
                   {}};
  if (body.ready_in_ms() != nullptr) {
    out.ready_in_ms.assign(body.ready_in_ms()->begin(),
                           body.ready_in_ms()->end());
  }
  if (out.models.size() != out.ready_in_ms.size()) {
    return MakeError(ErrorKind::kInvalid,
                     "load estimate with " + std::to_string(out.models.size()) +
                         " models and " +
                         std::to_string(out.ready_in_ms.size()) + " times");
  }
  return EnvelopeBody(PeerMessage(std::move(out)));
}

Result<EnvelopeBody> DecodeSharedLoads(const wire::SharedLoads& body) {
  if (body.stage() > static_cast<std::uint8_t>(LoadSharingStage::kToMembers)) {
    return MakeError(ErrorKind::kInvalid, "unknown stage of shared loads " +
                                              std::to_string(body.stage()));
  }
  SharedLoads out{static_cast<LoadSharingStage>(body.stage()), {}};
  if (body.loads() != nullptr) {
    for (const auto* it : *body.loads()) {
      out.loads.push_back({it->endpoint_start(), it->in_flight(),
                           it->slowness_hundredths(), it->age_ms()});
    }
  }
  return EnvelopeBody(PeerMessage(std::move(out)));
}

LoadedModelsNotice DecodeLoadedModels(const wire::LoadedModelsNotice& body) {
  LoadedModelsNotice out{
      ToString(body.endpoint()), body.boot(), body.fence(), body.number(), {}};
  if (body.models() != nullptr) {
    for (const auto* it : *body.models()) {
      out.models.push_back({ToString(it->model()), ToStrings(it->adapters())});
    }
  }
  return out;
}

Result<WaitingReport> DecodeWaitingReport(const wire::WaitingReport& body) {
  WaitingReport out{ToString(body.service()), {}, {}};
  if (body.classes() != nullptr) {
    for (const auto* it : *body.classes()) {
      out.classes.push_back(
          {ToString(it->model()), it->priority(), it->waiting()});
    }
  }
  if (body.shares() != nullptr) {
    for (const auto* it : *body.shares()) {
      if (!std::isfinite(it->served()) || it->served() < 0) {
        return MakeError(ErrorKind::kInvalid, "invalid cost of a share");
      }
      out.shares.push_back({ToString(it->customer()), it->priority(),
                            it->waiting(), it->served()});
    }
  }
  return out;
}

Result<EnvelopeBody> DecodeWaitingSummary(const wire::WaitingSummary& body) {
  if (body.sum() == nullptr) {
    return MakeError(ErrorKind::kInvalid, "waiting summary without a sum");
  }
  BOOST_OUTCOME_TRY(sum, DecodeWaitingReport(*body.sum()));
  return EnvelopeBody(
      PeerMessage(WaitingSummary{body.fence(), body.number(), std::move(sum)}));
}

Result<EnvelopeBody> DecodeEndpointNotice(const wire::EndpointNotice& body) {
  if (body.condition() >
      static_cast<std::uint8_t>(EndpointCondition::kProbing)) {
    return MakeError(ErrorKind::kInvalid, "unknown endpoint condition " +
                                              std::to_string(body.condition()));
  }
  return EnvelopeBody(PeerMessage(
      EndpointNotice{ToString(body.endpoint()),
                     static_cast<EndpointCondition>(body.condition()),
                     body.valid_ms(), body.boot()}));
}

Result<EnvelopeBody> DecodeEndpointUse(const wire::EndpointUse& body) {
  EndpointUse out{ToStrings(body.endpoints()), {}, {}};
  if (body.in_progress() != nullptr) {
    out.in_progress.assign(body.in_progress()->begin(),
                           body.in_progress()->end());
  }
  if (body.prompt_tokens() != nullptr) {
    out.prompt_tokens.assign(body.prompt_tokens()->begin(),
                             body.prompt_tokens()->end());
  }
  out.prompt_tokens.resize(out.endpoints.size());  // Older nodes send none.
  if (out.endpoints.size() != out.in_progress.size()) {
    return MakeError(ErrorKind::kInvalid,
                     "endpoint use with " +
                         std::to_string(out.endpoints.size()) +
                         " endpoints and " +
                         std::to_string(out.in_progress.size()) + " counts");
  }
  return EnvelopeBody(PeerMessage(std::move(out)));
}

Result<EnvelopeBody> DecodeCrashNotice(const wire::CrashNotice& body) {
  CrashNotice out{body.fingerprint(),
                  body.crashes(),
                  body.valid_ms(),
                  body.prompt_part(),
                  {}};
  // Older nodes send no lists.
  const auto n_ids = body.crash_ids() == nullptr ? 0 : body.crash_ids()->size();
  const auto n_ages =
      body.crash_ages_ms() == nullptr ? 0 : body.crash_ages_ms()->size();
  if (n_ids != n_ages) {
    return MakeError(ErrorKind::kInvalid,
                     "crash notice with " + std::to_string(n_ids) +
                         " ids and " + std::to_string(n_ages) + " ages");
  }
  for (flatbuffers::uoffset_t i = 0; i < n_ids; ++i) {
    out.observed.push_back(
        {body.crash_ids()->Get(i), body.crash_ages_ms()->Get(i)});
  }
  return EnvelopeBody(PeerMessage(std::move(out)));
}

// Returns whether a received number of units can be counted.
bool IsAmount(float units) {
  return std::isfinite(units) && units >= 0;
}

Result<EnvelopeBody> DecodeQuotaReport(const wire::QuotaReport& body) {
  QuotaReport out{
      body.number(), body.last_grant(), body.votes(), body.vote_ms(), {}};
  if (body.needs() != nullptr) {
    for (const auto* it : *body.needs()) {
      if (!IsAmount(it->held()) || !IsAmount(it->pending()) ||
          !IsAmount(it->returned()) || !IsAmount(it->wanted()) ||
          !IsAmount(it->urgent())) {
        return MakeError(ErrorKind::kInvalid,
                         "quota report with a negative amount");
      }
      out.needs.push_back({it->customer(), it->held(), it->pending(),
                           it->returned(), it->wanted(), it->urgent()});
    }
  }
  return EnvelopeBody(PeerMessage(std::move(out)));
}

Result<EnvelopeBody> DecodeQuotaGrant(const wire::QuotaGrant& body) {
  QuotaGrant out{body.number(), body.report(), body.reply_at_once(), {}};
  if (body.allowances() != nullptr) {
    for (const auto* it : *body.allowances()) {
      if (!IsAmount(it->granted())) {
        return MakeError(ErrorKind::kInvalid,
                         "quota grant with a negative amount");
      }
      out.allowances.push_back({it->customer(), it->granted(), it->room_ms()});
    }
  }
  return EnvelopeBody(PeerMessage(std::move(out)));
}

Result<EnvelopeBody> DecodeBody(const wire::Envelope& envelope) {
  // The verifier accepts a union whose value is absent.
  if (envelope.body_type() != wire::Body::NONE && envelope.body() == nullptr) {
    return MakeError(ErrorKind::kInvalid, "envelope body is absent");
  }
  switch (envelope.body_type()) {
    case wire::Body::NONE:
      return EnvelopeBody();
    case wire::Body::Hello: {
      const auto& body = *envelope.body_as_Hello();
      return EnvelopeBody(Hello{BytesToString(body.challenge()), body.mesh()});
    }
    case wire::Body::Challenge:
      return EnvelopeBody(
          Challenge{BytesToString(envelope.body_as_Challenge()->challenge())});
    case wire::Body::Proof:
      return EnvelopeBody(
          Proof{BytesToString(envelope.body_as_Proof()->mac())});
    case wire::Body::Heartbeat:
      return EnvelopeBody(
          Heartbeat{envelope.body_as_Heartbeat()->config_version()});
    case wire::Body::Digest:
      return EnvelopeBody(DecodeDigest(*envelope.body_as_Digest()));
    case wire::Body::DigestRequest:
      return EnvelopeBody(DigestRequest{});
    case wire::Body::Demand:
      return EnvelopeBody(
          PeerMessage(DecodeDemand(*envelope.body_as_Demand())));
    case wire::Body::DemandAck: {
      const auto& body = *envelope.body_as_DemandAck();
      return EnvelopeBody(
          PeerMessage(DemandAck{ToString(body.cell()), body.number()}));
    }
    case wire::Body::RecordUpdate: {
      const auto& body = *envelope.body_as_RecordUpdate();
      return EnvelopeBody(
          PeerMessage(RecordUpdate{ToString(body.cell()), body.object_version(),
                                   ToString(body.record())}));
    }
    case wire::Body::ConfigUpdate: {
      const auto& body = *envelope.body_as_ConfigUpdate();
      return EnvelopeBody(PeerMessage(ConfigUpdate{
          body.version(), body.object_version(), ToString(body.root())}));
    }
    case wire::Body::ConfigRequest:
      return EnvelopeBody(PeerMessage(
          ConfigRequest{envelope.body_as_ConfigRequest()->known_version()}));
    case wire::Body::WaitingReport: {
      BOOST_OUTCOME_TRY(report,
                        DecodeWaitingReport(*envelope.body_as_WaitingReport()));
      return EnvelopeBody(PeerMessage(std::move(report)));
    }
    case wire::Body::WaitingSummary:
      return DecodeWaitingSummary(*envelope.body_as_WaitingSummary());
    case wire::Body::EndpointNotice:
      return DecodeEndpointNotice(*envelope.body_as_EndpointNotice());
    case wire::Body::EndpointUse:
      return DecodeEndpointUse(*envelope.body_as_EndpointUse());
    case wire::Body::CrashNotice:
      return DecodeCrashNotice(*envelope.body_as_CrashNotice());
    case wire::Body::Done: {
      const auto& body = *envelope.body_as_Done();
      return EnvelopeBody(
          PeerMessage(OrderDone{ToString(body.cell()), ToString(body.server()),
                                ToString(body.order())}));
    }
    case wire::Body::LeaseNotice: {
      const auto& body = *envelope.body_as_LeaseNotice();
      return EnvelopeBody(PeerMessage(
          LeaseNotice{ToString(body.holder()), body.fence(), body.revision(),
                      body.released(), body.era()}));
    }
    case wire::Body::LoadOutlook:
      return DecodeLoadEstimate(*envelope.body_as_LoadOutlook());
    case wire::Body::QuotaReport:
      return DecodeQuotaReport(*envelope.body_as_QuotaReport());
    case wire::Body::QuotaGrant:
      return DecodeQuotaGrant(*envelope.body_as_QuotaGrant());
    case wire::Body::SharedLoads:
      return DecodeSharedLoads(*envelope.body_as_SharedLoads());
    case wire::Body::HoldingsNotice:
      return EnvelopeBody(
          PeerMessage(DecodeLoadedModels(*envelope.body_as_HoldingsNotice())));
  }
  return MakeError(ErrorKind::kInvalid,
                   "unknown envelope body type " +
                       std::to_string(static_cast<int>(envelope.body_type())));
}

}  // namespace

std::string EncodeEnvelope(const Envelope& envelope) {
  Builder builder(kInitialBuilderBytes);
  const auto [type, body] = std::visit(BodyEncoder{builder}, envelope.body);
  const auto sender = PutString(builder, envelope.sender);
  const auto incarnation = PutString(builder, envelope.incarnation);
  builder.Finish(wire::CreateEnvelope(
      builder, envelope.time.micros, envelope.time.counter, sender, incarnation,
      envelope.flood_number, type, body));
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
          builder.GetSize()};
}

Result<Envelope> DecodeEnvelope(std::string_view payload) {
  const auto verified = VerifyEnvelope(payload);
  if (!verified) {
    return verified.assume_error();
  }
  const wire::Envelope* wire_envelope = verified.assume_value();
  Envelope out;
  out.time =
      HybridTime{wire_envelope->time_micros(), wire_envelope->time_counter()};
  out.sender = ToString(wire_envelope->sender());
  out.incarnation = ToString(wire_envelope->incarnation());
  out.flood_number = wire_envelope->flood_number();
  auto body = DecodeBody(*wire_envelope);
  if (!body) {
    return body.assume_error();
  }
  out.body = std::move(body).assume_value();
  return out;
}

}  // namespace tanagerloom
