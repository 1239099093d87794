// Reads the settings object, whose form is the same in the simulator's protocol and in the sidecar's
// configuration.
#pragma once

#include "config/fields.h"

namespace martenford::decision::json {

/// Throws FieldError, which names the field, if the object is malformed or inconsistent.
Settings read_settings(const object& from);

}  // namespace martenford::decision::json
