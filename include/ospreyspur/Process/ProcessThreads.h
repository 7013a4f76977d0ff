//===- ProcessThreads.h - a control and a traffic thread --------*- C++ -*-===//
//
// Entries and agents run one thread for control state and one for traffic,
// which post tasks to each other.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_PROCESS_PROCESSTHREADS_H
#define OSPREYSPUR_PROCESS_PROCESSTHREADS_H

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <thread>
#include <utility>

namespace ospreyspur {

/// The two threads of a process.
class ProcessThreads {
public:
  boost::asio::io_context &control() { return Control; }
  boost::asio::io_context &traffic() { return Traffic; }

  /// Runs \p task on the control thread.
  template <typename Task> void postToControl(Task task) {
    boost::asio::post(Control, std::move(task));
  }

  /// Runs \p task on the traffic thread.
  template <typename Task> void postToTraffic(Task task) {
    boost::asio::post(Traffic, std::move(task));
  }

  /// Runs both threads until stop(); the calling thread becomes the control
  /// thread.
  void run() {
    std::thread thread([this] { Traffic.run(); });
    Control.run();
    thread.join();
  }

  /// Ends run(); pending work of both threads is dropped.
  void stop() {
    Traffic.stop();
    Control.stop();
  }

private:
  boost::asio::io_context Control{1};
  boost::asio::io_context Traffic{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      Work = boost::asio::make_work_guard(Traffic);
};

} // namespace ospreyspur

#endif // OSPREYSPUR_PROCESS_PROCESSTHREADS_H
