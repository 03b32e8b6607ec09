// Defines all numbered events, so that numbers and names are unique. The
// hundreds of a number tell its area: 1xx process, 2xx membership, 3xx
// placement, 4xx requests, 5xx configuration, 6xx the fleet that the platform
// registers, 9xx invariants.
#ifndef BASE_EVENTS_H_
#define BASE_EVENTS_H_

#include "base/event.h"

namespace tanagerloom::events {

inline constexpr EventId kNodeStarted{100, Severity::kInfo, "node_started"};
inline constexpr EventId kNodeStopping{101, Severity::kInfo, "node_stopping"};
inline constexpr EventId kNodeStopped{102, Severity::kInfo, "node_stopped"};
inline constexpr EventId kSettingsReloaded{103, Severity::kInfo,
                                           "settings_reloaded"};
inline constexpr EventId kDependencyLost{104, Severity::kWarning,
                                         "dependency_lost"};
inline constexpr EventId kDependencyRecovered{105, Severity::kInfo,
                                              "dependency_regained"};
inline constexpr EventId kEventsOmitted{106, Severity::kWarning,
                                        "events_omitted"};
inline constexpr EventId kReadinessChanged{107, Severity::kInfo,
                                           "readiness_changed"};
inline constexpr EventId kStoreEraChanged{108, Severity::kWarning,
                                          "store_era_changed"};
inline constexpr EventId kPeerConnected{200, Severity::kInfo, "peer_connected"};
inline constexpr EventId kPeerDisconnected{201, Severity::kInfo,
                                           "peer_disconnected"};
inline constexpr EventId kPeerRefused{202, Severity::kWarning, "peer_refused"};
inline constexpr EventId kFrameRefused{203, Severity::kWarning,
                                       "frame_refused"};
inline constexpr EventId kPeerSilent{204, Severity::kWarning, "peer_silent"};
inline constexpr EventId kMemberReachable{205, Severity::kInfo,
                                          "member_reachable"};
inline constexpr EventId kMemberUnreachable{206, Severity::kWarning,
                                            "member_unreachable"};
inline constexpr EventId kMemberLeaving{207, Severity::kInfo, "member_leaving"};
inline constexpr EventId kMemberRestarted{208, Severity::kInfo,
                                          "member_restarted"};
inline constexpr EventId kStaleIncarnation{209, Severity::kWarning,
                                           "stale_incarnation"};
inline constexpr EventId kVmListChanged{210, Severity::kInfo,
                                        "vm_list_changed"};
inline constexpr EventId kVmListUnavailable{211, Severity::kWarning,
                                            "vm_list_unavailable"};
inline constexpr EventId kVmListAvailable{212, Severity::kInfo,
                                          "vm_list_available"};
inline constexpr EventId kEndpointLeaving{213, Severity::kInfo,
                                          "endpoint_leaving"};
inline constexpr EventId kMessagesDropped{214, Severity::kWarning,
                                          "messages_dropped"};
inline constexpr EventId kProcessPaused{215, Severity::kWarning,
                                        "process_paused"};
inline constexpr EventId kDecisionStored{300, Severity::kInfo,
                                         "decision_stored"};
inline constexpr EventId kDecisionConflict{301, Severity::kDebug,
                                           "decision_conflict"};
inline constexpr EventId kOrderSent{302, Severity::kInfo, "order_sent"};
inline constexpr EventId kOrderFailed{303, Severity::kWarning, "order_failed"};
inline constexpr EventId kReplicaLoaded{304, Severity::kInfo, "replica_loaded"};
inline constexpr EventId kReplicaRemoved{305, Severity::kInfo,
                                         "replica_removed"};
inline constexpr EventId kPlatformUnavailable{306, Severity::kWarning,
                                              "platform_unavailable"};
inline constexpr EventId kOrdersAdopted{307, Severity::kInfo, "orders_adopted"};
inline constexpr EventId kReplicasFound{308, Severity::kWarning,
                                        "replicas_found"};
inline constexpr EventId kPauseDetected{309, Severity::kWarning,
                                        "pause_noticed"};
inline constexpr EventId kRequestAccepted{400, Severity::kInfo,
                                          "request_accepted"};
inline constexpr EventId kRequestDispatched{401, Severity::kInfo,
                                            "request_dispatched"};
inline constexpr EventId kRequestAnswered{402, Severity::kInfo,
                                          "request_answered"};
inline constexpr EventId kRequestRefused{403, Severity::kInfo,
                                         "request_refused"};
inline constexpr EventId kClientGone{404, Severity::kInfo, "caller_gone"};
inline constexpr EventId kEndpointHeldBack{405, Severity::kWarning,
                                           "endpoint_held_back"};
inline constexpr EventId kEndpointRecovered{406, Severity::kInfo,
                                            "endpoint_recovered"};
inline constexpr EventId kAttemptFailed{407, Severity::kWarning,
                                        "attempt_failed"};
inline constexpr EventId kStreamResumed{408, Severity::kWarning,
                                        "stream_resumed"};
inline constexpr EventId kClaimWriteFailed{409, Severity::kWarning,
                                           "claim_write_failed"};
inline constexpr EventId kClaimRangeSplit{410, Severity::kInfo,
                                          "claim_range_split"};
inline constexpr EventId kRequestCrashedEndpoint{411, Severity::kWarning,
                                                 "request_crashed_endpoint"};
inline constexpr EventId kRequestQuarantined{412, Severity::kWarning,
                                             "request_quarantined"};
inline constexpr EventId kCrashCountReset{413, Severity::kInfo,
                                          "crash_count_reset"};
inline constexpr EventId kCrashNotCounted{414, Severity::kInfo,
                                          "crash_not_counted"};
inline constexpr EventId kConfigurationInForce{500, Severity::kInfo,
                                               "configuration_in_force"};
inline constexpr EventId kConfigurationApplied{501, Severity::kInfo,
                                               "configuration_applied"};
inline constexpr EventId kConfigurationRefused{502, Severity::kInfo,
                                               "configuration_refused"};
inline constexpr EventId kConfigurationUnreachable{503, Severity::kWarning,
                                                   "configuration_unreachable"};
inline constexpr EventId kConfigurationUnusable{504, Severity::kError,
                                                "configuration_unusable"};
inline constexpr EventId kConfigurationOlder{505, Severity::kWarning,
                                             "configuration_older_ignored"};
inline constexpr EventId kConfigurationRetried{506, Severity::kDebug,
                                               "configuration_retried"};
inline constexpr EventId kDrainRequested{507, Severity::kInfo,
                                         "drain_requested"};
inline constexpr EventId kFleetConfigInForce{600, Severity::kInfo,
                                             "fleet_config_in_force"};
inline constexpr EventId kEntryIgnored{601, Severity::kWarning,
                                       "entry_ignored"};
inline constexpr EventId kEndpointListed{602, Severity::kInfo,
                                         "endpoint_listed"};
inline constexpr EventId kEndpointDraining{603, Severity::kInfo,
                                           "endpoint_draining"};
inline constexpr EventId kEndpointGone{604, Severity::kInfo, "endpoint_gone"};
inline constexpr EventId kEndpointSaidLeaving{605, Severity::kInfo,
                                              "endpoint_said_leaving"};
inline constexpr EventId kEndpointSaidPause{606, Severity::kInfo,
                                            "endpoint_said_pause"};
inline constexpr EventId kStatementInvalid{607, Severity::kWarning,
                                           "endpoint_statement_invalid"};
inline constexpr EventId kEndpointPaceChanged{608, Severity::kInfo,
                                              "endpoint_pace_changed"};
inline constexpr EventId kLeaseTaken{610, Severity::kInfo, "lease_taken"};
inline constexpr EventId kLeaseLost{611, Severity::kWarning, "lease_lost"};
inline constexpr EventId kLeaseReleased{612, Severity::kInfo, "lease_released"};
inline constexpr EventId kEngineOrderSent{620, Severity::kInfo,
                                          "engine_order_sent"};
inline constexpr EventId kEngineOrderFailed{621, Severity::kWarning,
                                            "engine_order_failed"};
inline constexpr EventId kEngineOrderDone{622, Severity::kInfo,
                                          "engine_order_done"};
inline constexpr EventId kEngineStateAdopted{623, Severity::kInfo,
                                             "engine_state_adopted"};
inline constexpr EventId kForwardFinished{630, Severity::kInfo,
                                          "forward_finished"};
inline constexpr EventId kForwardRefused{631, Severity::kInfo,
                                         "forward_rejected"};
inline constexpr EventId kForwardAttemptFailed{632, Severity::kWarning,
                                               "forward_attempt_failed"};
inline constexpr EventId kForwardResumed{633, Severity::kWarning,
                                         "forward_resumed"};
inline constexpr EventId kForwardSent{634, Severity::kInfo, "forward_sent"};
inline constexpr EventId kForwardClientGone{635, Severity::kInfo,
                                            "forward_client_gone"};
inline constexpr EventId kForwardTurnTooLate{636, Severity::kInfo,
                                             "forward_turn_too_late"};
inline constexpr EventId kMemoryShort{640, Severity::kWarning, "memory_short"};
inline constexpr EventId kQuotaExhausted{650, Severity::kInfo,
                                         "quota_exhausted"};
inline constexpr EventId kQuotaAvailable{651, Severity::kInfo,
                                         "quota_available"};
inline constexpr EventId kQuotaCoordinatorChanged{652, Severity::kInfo,
                                                  "quota_coordinator_changed"};
inline constexpr EventId kInvariantViolated{900, Severity::kError,
                                            "invariant_violated"};

}  // namespace tanagerloom::events

#endif  // BASE_EVENTS_H_
