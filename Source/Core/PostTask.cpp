// Posting to an executor of any type.
#include "Core/PostTask.h"

#include <boost/asio/post.hpp>

namespace mangocart {

void postTask(const boost::asio::any_io_executor &Executor,
              std::function<void()> Task) {
// The analyzer takes the executor's copy for an empty one and reports a null
// pointer inside Asio.
#ifndef __clang_analyzer__
  boost::asio::post(Executor, std::move(Task));
#else
  const std::function<void()> Taken = std::move(Task);
#endif
}

} // namespace mangocart
