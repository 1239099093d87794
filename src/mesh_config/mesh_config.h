// The operator's configuration: all headers of the package in one include. Pure.
#pragma once

#include "mesh_config/config.h"
#include "mesh_config/config_change.h"
#include "mesh_config/config_error.h"
#include "mesh_config/config_reader.h"
#include "mesh_config/digest.h"
#include "mesh_config/json_reader.h"
#include "mesh_config/route_table.h"
