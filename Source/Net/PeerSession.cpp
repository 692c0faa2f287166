// nghttp2 callbacks, reading, writing and probing of a connection.
#include "Net/PeerSession.h"

#include "Net/SessionStream.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <nghttp2/nghttp2.h>

#include <vector>

namespace mangocart {

namespace {

constexpr std::uint32_t MaxConcurrentStreams = 100000;
constexpr std::uint32_t StreamWindowBytes = 256 * 1024;
constexpr std::int32_t ConnectionWindowBytes = 64 * 1024 * 1024;
constexpr std::string_view UnknownMethodStatus = "404";

nghttp2_nv makeHeader(std::string_view Name, std::string_view Value) {
  // nghttp2 copies both texts unless a flag says otherwise.
  return {reinterpret_cast<std::uint8_t *>(const_cast<char *>(Name.data())),
          reinterpret_cast<std::uint8_t *>(const_cast<char *>(Value.data())),
          Name.size(), Value.size(), NGHTTP2_NV_FLAG_NONE};
}

std::string_view toView(const std::uint8_t *Data, std::size_t Size) {
  return {reinterpret_cast<const char *>(Data), Size};
}

ssize_t readFromStream(nghttp2_session *, std::int32_t, std::uint8_t *Buffer,
                       std::size_t Capacity, std::uint32_t *Flags,
                       nghttp2_data_source *Source, void *) {
  bool Ended = false;
  auto *Stream = static_cast<SessionStream *>(Source->ptr);
  const std::size_t Taken =
      Stream->takeData(reinterpret_cast<char *>(Buffer), Capacity, Ended);
  if (Ended)
    *Flags |= NGHTTP2_DATA_FLAG_EOF;
  if (Taken == 0 && !Ended)
    return NGHTTP2_ERR_DEFERRED;
  return static_cast<ssize_t>(Taken);
}

nghttp2_data_provider makeProvider(SessionStream &Stream) {
  nghttp2_data_provider Provider;
  Provider.source.ptr = &Stream;
  Provider.read_callback = readFromStream;
  return Provider;
}

} // namespace

// The functions that nghttp2 calls while it reads and writes frames.
struct PeerSession::Callbacks {
  static PeerSession &self(void *User) {
    return *static_cast<PeerSession *>(User);
  }

  static int onBeginHeaders(nghttp2_session *, const nghttp2_frame *Frame,
                            void *User) {
    PeerSession &Self = self(User);
    if (Self.m_Role != SessionRole::Server || Frame->hd.type != NGHTTP2_HEADERS)
      return 0;
    auto Stream = std::make_shared<SessionStream>(Self.m_Socket.get_executor());
    Stream->m_Id = Frame->hd.stream_id;
    Stream->m_HeadersSent = true;
    Self.m_Streams.emplace(Frame->hd.stream_id, std::move(Stream));
    return 0;
  }

  static int onHeader(nghttp2_session *, const nghttp2_frame *Frame,
                      const std::uint8_t *Name, std::size_t NameSize,
                      const std::uint8_t *Value, std::size_t ValueSize,
                      std::uint8_t, void *User) {
    PeerSession &Self = self(User);
    const auto Stream = Self.find(Frame->hd.stream_id);
    if (!Stream)
      return 0;
    const std::string_view HeaderName = toView(Name, NameSize);
    if (Self.m_Role == SessionRole::Server && HeaderName == ":path")
      return accept(Self, Stream, std::string(toView(Value, ValueSize)));
    if (Self.m_Role == SessionRole::Client && HeaderName == ":status")
      Stream->m_UnknownMethod = toView(Value, ValueSize) == UnknownMethodStatus;
    return 0;
  }

  static int accept(PeerSession &Self,
                    const std::shared_ptr<SessionStream> &Stream,
                    const std::string &Method) {
    if (Self.m_OnAccept && Self.m_OnAccept(Stream, Method)) {
      Stream->attach(Self.shared_from_this());
      return 0;
    }
    const nghttp2_nv Status = makeHeader(":status", UnknownMethodStatus);
    nghttp2_submit_response(Self.m_Session, Stream->m_Id, &Status, 1, nullptr);
    return 0;
  }

  static int onData(nghttp2_session *Session, std::uint8_t, std::int32_t Id,
                    const std::uint8_t *Data, std::size_t Size, void *User) {
    PeerSession &Self = self(User);
    // The connection's window opens at once, so that a stream whose reader is
    // slow holds up no other.
    nghttp2_session_consume_connection(Session, Size);
    const auto Stream = Self.find(Id);
    if (!Stream)
      return 0;
    const std::size_t HeldBefore = Stream->heldBytes();
    const bool IsValid = Stream->receive(toView(Data, Size));
    Self.m_HeldBytes += Stream->heldBytes() - HeldBefore;
    const bool IsTooMuch = Self.m_HeldBytes > MaxHeldBytes;
    if (IsTooMuch)
      Stream->fail({PeerErrorCode::Malformed,
                    "messages of the connection are too large together",
                    false});
    if (!IsValid || IsTooMuch)
      nghttp2_submit_rst_stream(Session, NGHTTP2_FLAG_NONE, Id,
                                NGHTTP2_PROTOCOL_ERROR);
    return 0;
  }

  static int onFrame(nghttp2_session *, const nghttp2_frame *Frame,
                     void *User) {
    const bool CarriesEnd =
        Frame->hd.type == NGHTTP2_DATA || Frame->hd.type == NGHTTP2_HEADERS;
    if (!CarriesEnd || !(Frame->hd.flags & NGHTTP2_FLAG_END_STREAM))
      return 0;
    if (const auto Stream = self(User).find(Frame->hd.stream_id))
      Stream->remoteEnded();
    return 0;
  }

  static int onFrameSent(nghttp2_session *, const nghttp2_frame *Frame,
                         void *User) {
    if (Frame->hd.type != NGHTTP2_HEADERS)
      return 0;
    if (const auto Stream = self(User).find(Frame->hd.stream_id))
      Stream->m_HeadersSent = true;
    return 0;
  }

  static int onStreamClose(nghttp2_session *, std::int32_t Id,
                           std::uint32_t ErrorCode, void *User) {
    PeerSession &Self = self(User);
    const auto Stream = Self.find(Id);
    if (!Stream)
      return 0;
    Self.m_Streams.erase(Id);
    Self.m_HeldBytes -= Stream->heldBytes();
    if (ErrorCode == NGHTTP2_REFUSED_STREAM)
      Stream->m_HeadersSent = false;
    Stream->closed(ErrorCode == NGHTTP2_NO_ERROR);
    return 0;
  }
};

PeerSession::PeerSession(SessionRole Role, boost::asio::ip::tcp::socket Socket,
                         std::shared_ptr<TrafficCounters> Traffic)
    : m_Role(Role), m_Socket(std::move(Socket)), m_Traffic(std::move(Traffic)),
      m_ProbeTimer(m_Socket.get_executor()) {}

PeerSession::~PeerSession() { nghttp2_session_del(m_Session); }

void PeerSession::setAcceptHandler(AcceptHandler Handler) {
  m_OnAccept = std::move(Handler);
}

void PeerSession::setClosedHandler(ClosedHandler Handler) {
  m_OnClosed = std::move(Handler);
}

void PeerSession::initialise() {
  nghttp2_session_callbacks *Table = nullptr;
  nghttp2_session_callbacks_new(&Table);
  nghttp2_session_callbacks_set_on_begin_headers_callback(
      Table, &Callbacks::onBeginHeaders);
  nghttp2_session_callbacks_set_on_header_callback(Table, &Callbacks::onHeader);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(Table,
                                                            &Callbacks::onData);
  nghttp2_session_callbacks_set_on_frame_recv_callback(Table,
                                                       &Callbacks::onFrame);
  nghttp2_session_callbacks_set_on_frame_send_callback(Table,
                                                       &Callbacks::onFrameSent);
  nghttp2_session_callbacks_set_on_stream_close_callback(
      Table, &Callbacks::onStreamClose);
  nghttp2_option *Options = nullptr;
  nghttp2_option_new(&Options);
  // Windows open when a stream's reader has taken the bytes.
  nghttp2_option_set_no_auto_window_update(Options, 1);
  nghttp2_option_set_peer_max_concurrent_streams(Options, MaxConcurrentStreams);
  if (m_Role == SessionRole::Server)
    nghttp2_session_server_new2(&m_Session, Table, this, Options);
  else
    nghttp2_session_client_new2(&m_Session, Table, this, Options);
  nghttp2_option_del(Options);
  nghttp2_session_callbacks_del(Table);
}

void PeerSession::start() {
  initialise();
  const std::array<nghttp2_settings_entry, 2> Settings = {
      {{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, MaxConcurrentStreams},
       {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, StreamWindowBytes}}};
  nghttp2_submit_settings(m_Session, NGHTTP2_FLAG_NONE, Settings.data(),
                          Settings.size());
  nghttp2_session_set_local_window_size(m_Session, NGHTTP2_FLAG_NONE, 0,
                                        ConnectionWindowBytes);
  boost::system::error_code Ignored;
  m_Socket.set_option(boost::asio::ip::tcp::no_delay(true), Ignored);
  m_Open = true;
  read();
  scheduleFlush();
  probe();
}

void PeerSession::close(const std::string &Why) {
  if (!m_Open)
    return;
  m_Open = false;
  boost::system::error_code Ignored;
  m_Socket.close(Ignored);
  m_ProbeTimer.cancel();
  auto Streams = std::move(m_Streams);
  m_Streams.clear();
  for (auto &[Id, Stream] : Streams)
    Stream->fail({PeerErrorCode::ConnectionLost, Why, !Stream->m_HeadersSent});
  if (m_OnClosed)
    m_OnClosed();
}

void PeerSession::read() {
  m_Socket.async_read_some(
      boost::asio::buffer(m_ReadBuffer),
      [this, Self = shared_from_this()](boost::system::error_code Error,
                                        std::size_t Size) {
        if (!m_Open)
          return;
        if (Error)
          return close(Error.message());
        m_SilentIntervals = 0;
        m_Traffic->m_BytesReceived += Size;
        const ssize_t Used = nghttp2_session_mem_recv(
            m_Session,
            reinterpret_cast<const std::uint8_t *>(m_ReadBuffer.data()), Size);
        if (Used < 0)
          return close(nghttp2_strerror(static_cast<int>(Used)));
        scheduleFlush();
        read();
      });
}

void PeerSession::scheduleFlush() {
  if (m_FlushPosted || m_Writing || !m_Open)
    return;
  m_FlushPosted = true;
  boost::asio::post(m_Socket.get_executor(), [Self = shared_from_this()] {
    Self->m_FlushPosted = false;
    Self->flush();
  });
}

void PeerSession::flush() {
  if (m_Writing || !m_Open)
    return;
  m_WriteBuffer.clear();
  while (m_WriteBuffer.size() < MaxWriteBytes) {
    const std::uint8_t *Data = nullptr;
    const ssize_t Size = nghttp2_session_mem_send(m_Session, &Data);
    if (Size < 0)
      return close(nghttp2_strerror(static_cast<int>(Size)));
    if (Size == 0)
      break;
    m_WriteBuffer.append(toView(Data, static_cast<std::size_t>(Size)));
  }
  if (m_WriteBuffer.empty())
    return;
  m_Writing = true;
  boost::asio::async_write(
      m_Socket, boost::asio::buffer(m_WriteBuffer),
      [this, Self = shared_from_this()](boost::system::error_code Error,
                                        std::size_t Size) {
        m_Writing = false;
        m_Traffic->m_BytesSent += Size;
        if (!m_Open)
          return;
        if (Error)
          return close(Error.message());
        flush();
      });
}

void PeerSession::probe() {
  m_ProbeTimer.expires_after(ProbeInterval);
  m_ProbeTimer.async_wait(
      [this, Self = shared_from_this()](boost::system::error_code Error) {
        if (Error || !m_Open)
          return;
        // A connection without streams may be silent; nothing waits on it.
        if (!m_Streams.empty() && ++m_SilentIntervals > 1) {
          if (m_SilentIntervals > MaxSilentIntervals)
            return close("the other side is silent");
          nghttp2_submit_ping(m_Session, NGHTTP2_FLAG_NONE, nullptr);
          scheduleFlush();
        }
        probe();
      });
}

std::shared_ptr<SessionStream> PeerSession::find(std::int32_t Id) {
  const auto Found = m_Streams.find(Id);
  return Found == m_Streams.end() ? nullptr : Found->second;
}

bool PeerSession::submitRequest(const std::shared_ptr<SessionStream> &Stream,
                                const std::string &Method) {
  const std::array<nghttp2_nv, 4> Headers = {
      makeHeader(":method", "POST"), makeHeader(":scheme", "http"),
      makeHeader(":authority", "mangocart"), makeHeader(":path", Method)};
  const nghttp2_data_provider Provider = makeProvider(*Stream);
  const std::int32_t Id = nghttp2_submit_request(
      m_Session, nullptr, Headers.data(), Headers.size(), &Provider, nullptr);
  if (Id < 0)
    return false;
  Stream->m_Id = Id;
  Stream->m_ResponseSubmitted = true;
  m_Streams.emplace(Id, Stream);
  Stream->attach(shared_from_this());
  scheduleFlush();
  return true;
}

void PeerSession::submitResponse(SessionStream &Stream) {
  Stream.m_ResponseSubmitted = true;
  const nghttp2_nv Status = makeHeader(":status", "200");
  const nghttp2_data_provider Provider = makeProvider(Stream);
  nghttp2_submit_response(m_Session, Stream.m_Id, &Status, 1, &Provider);
  scheduleFlush();
}

void PeerSession::resumeData(SessionStream &Stream) {
  nghttp2_session_resume_data(m_Session, Stream.m_Id);
  scheduleFlush();
}

void PeerSession::submitReset(SessionStream &Stream) {
  nghttp2_submit_rst_stream(m_Session, NGHTTP2_FLAG_NONE, Stream.m_Id,
                            NGHTTP2_CANCEL);
  scheduleFlush();
}

void PeerSession::consumeStream(SessionStream &Stream, std::size_t Bytes) {
  if (!m_Open)
    return;
  nghttp2_session_consume_stream(m_Session, Stream.m_Id, Bytes);
  scheduleFlush();
}

} // namespace mangocart
