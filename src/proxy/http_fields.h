// Header fields of the platform ("What martenford speaks") that both sides of a proxy read and write, and the
// small helpers for them.
#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <string_view>

#include "core/engine.h"
#include "http1/protocol.h"

namespace martenford::proxy {

inline constexpr char kAttemptId[] = "Attempt-Id";
inline constexpr char kTimeRemaining[] = "Time-Remaining";
inline constexpr char kApiKey[] = "Api-Key";
inline constexpr char kTenantName[] = "Tenant-Name";
inline constexpr char kCallerService[] = "Caller-Service";
inline constexpr char kExpectedInstance[] = "Expected-Instance";
inline constexpr char kInstanceId[] = "Instance-Id";
inline constexpr char kNotExecuted[] = "Not-Executed";
inline constexpr char kServerSeal[] = "Server-Seal";

/// Fields of clients and of endpoints that are meant for all recipients. Those that the system sets itself
/// are not among them: a client's own are dropped.
inline constexpr std::array<std::string_view, 4> kClientFields{"Host", kAttemptId, kTimeRemaining, kApiKey};
inline constexpr std::array<std::string_view, 2> kEndpointFields{kAttemptId, kServerSeal};

/// Fields of an endpoint's answer that say which request it answers, and how that ended.
inline constexpr std::array<std::string_view, 4> kEndpointVerdictFields{kAttemptId, kNotExecuted, kServerSeal,
                                                                        kInstanceId};

/// Bytes of an Attempt-Id; a longer one is a bad request.
inline constexpr std::size_t kMaxAttemptIdBytes = 128;
/// Answers that a listener holds during a shutdown: a twentieth of the memory of the smallest machines.
inline constexpr std::size_t kMaxHeldAnswerBytes = 8 * 1024 * 1024;

/// A Time-Remaining beyond a day is a bad request.
inline constexpr std::int64_t kMaxTimeRemainingMs = 24LL * 3600 * 1000;

inline std::int64_t milliseconds_of(Duration time) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

inline std::string_view view_of(boost::beast::string_view text) {
    return {text.data(), text.size()};
}

/// Copies the endpoint's own status and fields into `head`. Returns false if the answer is not an endpoint's.
bool copy_endpoint_head(const Answer& answer, http::response_header<>& head);

/// Returns false if the answer is an endpoint's and bears another Attempt-Id than this.
[[nodiscard]] bool bears_attempt_id(const Answer& answer, std::string_view attempt_id);

/// Logs an answer that was withheld from the request with this Attempt-Id, with what is known of both sides.
void log_withheld_answer(const Answer& answer, std::string_view attempt_id, const ConnectionRecord& record);

}  // namespace martenford::proxy
