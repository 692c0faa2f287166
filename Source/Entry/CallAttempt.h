// One call to one agent: opens the stream, sends the request, verifies that the
// answer is complete, and passes it to the handlers on the given executor.
#ifndef MANGOCART_ENTRY_CALLATTEMPT_H
#define MANGOCART_ENTRY_CALLATTEMPT_H

#include "Net/PeerStream.h"
#include "Peer.pb.h"

#include <functional>
#include <limits>
#include <memory>
#include <mutex>
#include <string>
#include <variant>
#include <vector>

namespace mangocart {

// The answer ended without an end message, the end message does not match the
// answer, or the head can't be sent to a caller.
struct CallBroken {
  std::string m_Detail;
  // True if the agent cannot have received any part of the request.
  bool m_NothingSent = false;
};

// Handlers run on the executor passed to start(), in the order of the answer.
// Exactly one of m_OnEnd, m_OnRefusal and m_OnBroken is called, as the last
// one.
struct CallHandlers {
  std::function<void(schema::CallHead)> m_OnHead;
  std::function<void(std::string)> m_OnBody;
  std::function<void()> m_OnEnd;
  std::function<void(schema::CallRefusal)> m_OnRefusal;
  std::function<void(CallBroken)> m_OnBroken;
  // Largest body of the answer; the call is broken when more has arrived. For
  // takers that keep the body; others may have bodies of any size.
  std::uint64_t m_MaxBodyBytes = std::numeric_limits<std::uint64_t>::max();
};

// For answers that are handed on only when they are whole.
inline constexpr std::uint64_t MaxBufferedAnswerBytes =
    std::uint64_t{16} * 1024 * 1024;

class CallAttempt : public std::enable_shared_from_this<CallAttempt> {
public:
  // Called on the executor, so that no handler runs before it returns.
  static std::shared_ptr<CallAttempt>
  start(PeerClient &Peers, const PeerEndpoint &Agent,
        const schema::CallRequest &Request,
        boost::asio::any_io_executor Executor, CallHandlers Handlers);

  // Resets the stream; no handler is called afterwards. Must be called on the
  // executor.
  void cancel();
  void pauseReading() { m_Stream->pauseReading(); }
  void resumeReading() { m_Stream->resumeReading(); }

private:
  using Item = std::variant<schema::CallReply, PeerError>;

  CallAttempt(boost::asio::any_io_executor Executor, CallHandlers Handlers);
  void push(Item Next);
  void drain();
  void handle(Item Next);
  void handleReply(schema::CallReply Reply);
  void handleEnd(const schema::CallEnd &End);
  void fail(std::string Detail, bool NothingSent);

  const boost::asio::any_io_executor m_Executor;
  std::shared_ptr<PeerStream> m_Stream;

  std::mutex m_Mutex;
  // Replies to be processed on the executor; guarded by m_Mutex.
  std::vector<Item> m_Waiting;
  bool m_DrainPosted = false;

  // The members below are accessed only on the executor.
  CallHandlers m_Handlers;
  std::uint64_t m_ByteCount = 0;
  // Chained hash of the body messages; the agent computes the same.
  std::uint64_t m_Checksum = 0;
  bool m_HeadSeen = false;
  bool m_Finished = false;
};

} // namespace mangocart

#endif
