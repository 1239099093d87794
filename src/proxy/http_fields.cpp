#include "proxy/http_fields.h"

namespace martenford::proxy {

bool copy_endpoint_head(const Answer& answer, http::response_header<>& head) {
    const auto* endpoint_head = dynamic_cast<const HttpAnswerHead*>(answer.head.get());
    if (!endpoint_head) return false;
    head.result(endpoint_head->status);
    for (const auto& field : endpoint_head->fields) head.insert(field.name_string(), field.value());
    return true;
}

}  // namespace martenford::proxy
