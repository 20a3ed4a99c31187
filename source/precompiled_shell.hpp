#pragma once
#include "precompiled_core.hpp"
#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <memory>
#include <mutex>
#include <thread>
