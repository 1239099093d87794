// The settings object, as the bench's wire and the sidecar's configuration both give it. No decisions.
#pragma once

#include "config/fields.h"

namespace martenford::decision::json {

/// Throws FieldError that names the field where the object is malformed or makes no sense.
Settings read_settings(const object& from);

}  // namespace martenford::decision::json
