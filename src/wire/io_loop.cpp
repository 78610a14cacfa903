#include "wire/io_loop.h"

#include <QMetaObject>
#include <QTimer>

#include <cassert>

namespace corianderhoist {

io_loop::io_loop(const std::string& name) : context_(std::make_unique<QObject>()) {
  thread_.setObjectName(QString::fromStdString(name));
  context_->moveToThread(&thread_);
  thread_.start();
}

io_loop::~io_loop() {
  Stop();
}

void io_loop::Stop() {
  thread_.quit();
  thread_.wait();
}

void io_loop::Post(std::function<void()> task) {
  QMetaObject::invokeMethod(context_.get(), std::move(task), Qt::QueuedConnection);
}

void io_loop::After(std::chrono::milliseconds delay, std::function<void()> task) {
  Post([this, delay, task = std::move(task)]() mutable {
    QTimer::singleShot(delay, Qt::PreciseTimer, context_.get(), std::move(task));
  });
}

void io_loop::RunAndWait(const std::function<void()>& task) {
  assert(!IsCurrent() && "waiting on the loop's own thread would deadlock");
  QMetaObject::invokeMethod(context_.get(), task, Qt::BlockingQueuedConnection);
}

bool io_loop::IsCurrent() const {
  return QThread::currentThread() == &thread_;
}

}  // namespace corianderhoist
