#pragma once

// Boost 1.74's awaitable.hpp uses std::exchange without including <utility>, so <utility> goes
// first.
// clang-format off
#include <utility>

#include <boost/asio.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
// clang-format on

namespace wagtailslip::net {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

/// Result of a coroutine.
template <typename T>
using Task = asio::awaitable<T>;

}  // namespace wagtailslip::net
