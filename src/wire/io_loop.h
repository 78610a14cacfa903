/// A thread with a Qt event loop for sockets and timers.
#pragma once

#include <QObject>
#include <QThread>

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace corianderhoist {

/// Owns one thread. All members are thread safe. The destructor stops the loop and joins the
/// thread; tasks that have not started are discarded.
class io_loop {
 public:
  explicit io_loop(const std::string& name);
  ~io_loop();
  io_loop(const io_loop&) = delete;
  io_loop& operator=(const io_loop&) = delete;

  /// Runs `task` on the thread, in posting order.
  void Post(std::function<void()> task);
  /// Runs `task` on the thread once `delay` has passed.
  void After(std::chrono::milliseconds delay, std::function<void()> task);
  /// Runs `task` on the thread and blocks until it returns. Must not be called on the thread
  /// itself.
  void RunAndWait(const std::function<void()>& task);
  /// Ends the thread after its current task. Tasks that have not run are dropped, also those posted
  /// later.
  void Stop();
  bool IsCurrent() const;
  /// A QObject with affinity to the thread, for use as context of signal connections.
  QObject* Context() const { return context_.get(); }

 private:
  QThread thread_;
  std::unique_ptr<QObject> context_;
};

}  // namespace corianderhoist
