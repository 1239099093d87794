#include "proxy/http_fields.h"

#include <string>

#include "event_log/event_log.h"

namespace martenford::proxy {

bool copy_endpoint_head(const Answer& answer, http::response_header<>& head) {
    const auto* endpoint_head = dynamic_cast<const HttpAnswerHead*>(answer.head.get());
    if (!endpoint_head) return false;
    head.result(endpoint_head->status);
    for (const auto& field : endpoint_head->fields) head.insert(field.name_string(), field.value());
    return true;
}

bool check_attempt_id(const Answer& answer, std::string_view attempt_id) {
    const auto* endpoint_head = dynamic_cast<const HttpAnswerHead*>(answer.head.get());
    if (!endpoint_head) return true;
    const auto answered = endpoint_head->fields[kAttemptId];
    if (view_of(answered) == attempt_id) return true;
    event_log::log_event(event_log::Event::AnswerWithheld, "answer to another request withheld",
                         {{"request", std::string(attempt_id)}, {"answer", std::string(answered)}});
    return false;
}

}  // namespace martenford::proxy
