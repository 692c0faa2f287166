// Runs a task in a later turn of an executor.
#ifndef MANGOCART_CORE_POSTTASK_H
#define MANGOCART_CORE_POSTTASK_H

#include <boost/asio/any_io_executor.hpp>

#include <functional>

namespace mangocart {

// From any thread; the executor must not be empty.
void postTask(const boost::asio::any_io_executor &Executor,
              std::function<void()> Task);

} // namespace mangocart

#endif
