// Lists the numbered events. The number's hundreds name the package group:
// 1xx process, 2xx membership, 3xx placement, 4xx requests, 5xx configuration,
// 9xx invariants.
#ifndef BASE_EVENTS_H_
#define BASE_EVENTS_H_

#include "base/event.h"

namespace tanagerloom::events {

inline constexpr EventId kNodeStarted{100, Severity::kInfo, "node_started"};
inline constexpr EventId kNodeStopping{101, Severity::kInfo, "node_stopping"};
inline constexpr EventId kNodeStopped{102, Severity::kInfo, "node_stopped"};
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
inline constexpr EventId kPauseNoticed{309, Severity::kWarning,
                                       "pause_noticed"};
inline constexpr EventId kRequestAccepted{400, Severity::kInfo,
                                          "request_accepted"};
inline constexpr EventId kRequestDispatched{401, Severity::kInfo,
                                            "request_dispatched"};
inline constexpr EventId kRequestAnswered{402, Severity::kInfo,
                                          "request_answered"};
inline constexpr EventId kRequestRefused{403, Severity::kInfo,
                                         "request_refused"};
inline constexpr EventId kConfigurationInForce{500, Severity::kInfo,
                                               "configuration_in_force"};
inline constexpr EventId kInvariantViolated{900, Severity::kError,
                                            "invariant_violated"};

}  // namespace tanagerloom::events

#endif  // BASE_EVENTS_H_
