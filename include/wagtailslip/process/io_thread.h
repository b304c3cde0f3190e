#pragma once

#include <memory>
#include <thread>

#include "wagtailslip/net/asio.h"

namespace wagtailslip::process {

/// An io_context with the one thread that runs it.
class IoThread {
 public:
  IoThread() : guard_(context_.get_executor()) {}
  ~IoThread() { Join(); }
  IoThread(const IoThread&) = delete;
  IoThread& operator=(const IoThread&) = delete;

  net::asio::io_context& context() { return context_; }
  void Start() {
    thread_ = std::thread([this] { context_.run(); });
  }
  /// Ends the loop without waiting for work in progress.
  void Stop() { context_.stop(); }
  void Join() {
    guard_.reset();
    if (thread_.joinable()) thread_.join();
  }

 private:
  net::asio::io_context context_{1};
  net::asio::executor_work_guard<net::asio::io_context::executor_type> guard_;
  std::thread thread_;
};

}  // namespace wagtailslip::process
