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

bool bears_attempt_id(const Answer& answer, std::string_view attempt_id) {
    const auto* endpoint_head = dynamic_cast<const HttpAnswerHead*>(answer.head.get());
    return !endpoint_head || view_of(endpoint_head->fields[kAttemptId]) == attempt_id;
}

void log_withheld_answer(const Answer& answer, std::string_view attempt_id, const ConnectionRecord& record) {
    const auto* endpoint_head = dynamic_cast<const HttpAnswerHead*>(answer.head.get());
    if (!endpoint_head) return;
    event_log::log_event(event_log::Event::AnswerWithheld, "answer to another request withheld",
                         {{"request", std::string(attempt_id)},
                          {"answer", std::string(endpoint_head->fields[kAttemptId])},
                          {"origin", endpoint_head->origin.text()},
                          {"record", record.text()}});
}

}  // namespace martenford::proxy
