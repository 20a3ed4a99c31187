#pragma once
#include "precompiled_core.hpp"

#include "connection/http_client.hpp"
#include <memory>
#include <mutex>
#include <thread>
