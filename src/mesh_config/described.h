// The former name of json_reader.h.
#pragma once

#include "mesh_config/json_reader.h"
