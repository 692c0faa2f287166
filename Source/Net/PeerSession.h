// One HTTP/2 connection between two processes, either side of it: the nghttp2
// session, the socket and the streams. Lives on one worker.
#ifndef MANGOCART_NET_PEERSESSION_H
#define MANGOCART_NET_PEERSESSION_H

#include "Core/Timer.h"
#include "Net/MessageFramer.h"
#include "Net/PeerStream.h"

#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <atomic>
#include <string>
#include <unordered_map>

struct nghttp2_session;

namespace mangocart {

class SessionStream;

// Bytes that passed over all connections of a client or a server.
struct TrafficCounters {
  std::atomic<std::uint64_t> m_BytesSent{0};
  std::atomic<std::uint64_t> m_BytesReceived{0};
};

enum class SessionRole { Client, Server };

class PeerSession : public std::enable_shared_from_this<PeerSession> {
public:
  // Server side: called for each new stream with its method; false refuses it.
  using AcceptHandler = std::function<bool(std::shared_ptr<SessionStream>,
                                           const std::string &Method)>;
  using ClosedHandler = std::function<void()>;

  PeerSession(SessionRole Role, boost::asio::ip::tcp::socket Socket,
              std::shared_ptr<TrafficCounters> Traffic);
  ~PeerSession();
  PeerSession(const PeerSession &) = delete;
  PeerSession &operator=(const PeerSession &) = delete;

  void setAcceptHandler(AcceptHandler Handler);
  void setClosedHandler(ClosedHandler Handler);
  // Call once the socket is connected, on the worker.
  void start();
  // Closes the connection; open streams end with the error.
  void close(const std::string &Why);
  bool open() const { return m_Open; }
  boost::asio::any_io_executor executor() { return m_Socket.get_executor(); }

  // The functions below are for SessionStream, on the worker.
  bool submitRequest(const std::shared_ptr<SessionStream> &Stream,
                     const std::string &Method);
  void submitResponse(SessionStream &Stream);
  void resumeData(SessionStream &Stream);
  void submitReset(SessionStream &Stream);
  void consumeStream(SessionStream &Stream, std::size_t Bytes);

private:
  struct Callbacks;
  friend struct Callbacks;

  // Frames wait in this buffer while the previous write is under way.
  static constexpr std::size_t MaxWriteBytes = std::size_t{256} * 1024;
  static constexpr std::size_t ReadBytes = std::size_t{64} * 1024;
  // Of messages on all streams that haven't arrived whole; one of the largest
  // size fits.
  static constexpr std::size_t MaxHeldBytes =
      MaxMessageBytes + FrameLengthBytes;
  // A connection with open streams on which nothing arrives is probed at this
  // interval, and given up after that many silent intervals.
  static constexpr Duration ProbeInterval = std::chrono::seconds(1);
  static constexpr int MaxSilentIntervals = 3;

  void initialise();
  void read();
  void scheduleFlush();
  void flush();
  void probe();
  std::shared_ptr<SessionStream> find(std::int32_t Id);

  const SessionRole m_Role;
  boost::asio::ip::tcp::socket m_Socket;
  std::shared_ptr<TrafficCounters> m_Traffic;
  nghttp2_session *m_Session = nullptr;
  AcceptHandler m_OnAccept;
  ClosedHandler m_OnClosed;
  std::unordered_map<std::int32_t, std::shared_ptr<SessionStream>> m_Streams;
  // Sum of SessionStream::heldBytes().
  std::size_t m_HeldBytes = 0;
  std::array<char, ReadBytes> m_ReadBuffer;
  std::string m_WriteBuffer;
  Timer m_ProbeTimer;
  int m_SilentIntervals = 0;
  bool m_Open = false;
  // At most one write is under way, and at most one flush is posted.
  bool m_Writing = false;
  bool m_FlushPosted = false;
};

} // namespace mangocart

#endif
