// Whether the head of an endpoint's answer is that of one answer. The beginning of a surplus answer that was
// cut short joins with the head of the next one on the same connection: what stands in such a head is the
// word of neither.
#pragma once

#include "http1/http.h"
#include "http1/protocol.h"

namespace martenford {

/// Returns false if a status line stands within the head (the reason phrase or a field's value goes on with
/// the next answer's first line), or if a field of `stand_once` or Content-Length is there more than once.
[[nodiscard]] bool is_one_answer(const http::response_header<>& head, FieldNames stand_once);

}  // namespace martenford
