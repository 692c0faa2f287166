// Reads one HTTP/1.1 answer piece by piece as its bytes arrive. Internal to
// Http/: it brings Beast with it.
#ifndef MANGOCART_HTTP_HTTPRESPONSEPARSER_H
#define MANGOCART_HTTP_HTTPRESPONSEPARSER_H

#include "Http/HttpMessage.h"

#include <boost/beast/http/basic_parser.hpp>

namespace mangocart {

// Takes the pieces of an answer. takeHead() and takeBody() return false to stop
// parsing.
class HttpResponseSink {
public:
  virtual ~HttpResponseSink() = default;
  // The pieces of an answer are handed over if it is one to this call.
  virtual AnswerOwner ownerOf(const HttpHead &Head) = 0;
  virtual bool takeHead(HttpHead Head) = 0;
  virtual bool takeBody(std::string_view Piece) = 0;
};

class HttpResponseParser : private boost::beast::http::basic_parser<false> {
public:
  // An answer to HEAD has no body whatever its headers say.
  HttpResponseParser(HttpResponseSink &Sink, bool IsAnswerToHead,
                     bool TakesEndByClosing);

  enum class Progress { NeedMore, Done, Malformed, Stopped };

  // Takes bytes from the front of Bytes and removes them from it.
  Progress take(std::string_view &Bytes);

  // True for an answer before the answer (100, 103): another one follows.
  bool isInterim() const { return m_Interim; }
  // True for an answer that doesn't belong to the call.
  bool isForeign() const { return m_Foreign; }
  // The server has ended the connection in good order. True if that was the
  // end of the answer: its head was read, and gave no length.
  bool endOfConnection();
  // Seconds by the Keep-Alive header; nothing if there is none.
  std::optional<unsigned> keepAliveSeconds() const { return m_KeepSeconds; }
  bool keepAlive() const { return keep_alive() && !m_HasUnreadBody; }
  const std::string &detail() const { return m_Detail; }

private:
  using ErrorCode = boost::beast::error_code;
  using StringView = boost::beast::string_view;

  void on_request_impl(boost::beast::http::verb, StringView, StringView, int,
                       ErrorCode &) override {}
  void on_response_impl(int Code, StringView, int, ErrorCode &) override;
  void on_field_impl(boost::beast::http::field, StringView Name,
                     StringView Value, ErrorCode &) override;
  void on_header_impl(ErrorCode &Error) override;
  void on_body_init_impl(const boost::optional<std::uint64_t> &,
                         ErrorCode &) override {}
  std::size_t on_body_impl(StringView Body, ErrorCode &Error) override;
  void on_chunk_header_impl(std::uint64_t, StringView, ErrorCode &) override {}
  std::size_t on_chunk_body_impl(std::uint64_t, StringView Body,
                                 ErrorCode &Error) override;
  void on_finish_impl(ErrorCode &) override {}

  // Whether the value takes more than one line. Refused, since a field whose
  // name begins with a blank looks the same and would become a part of the
  // value before it.
  bool isFolded(std::string_view Name, std::string_view Value) const;

  HttpResponseSink &m_Sink;
  const bool m_TakesEndByClosing;
  // What put() was given; names of fields point into it.
  std::string_view m_Input;
  HttpHead m_Head;
  // Bytes of the fields of the head, then of the trailer.
  std::size_t m_FieldBytes = 0;
  std::string m_Detail;
  bool m_HeadDone = false;
  std::optional<unsigned> m_KeepSeconds;
  bool m_Interim = false;
  // The server may send a body where the status allows none: its bytes would be
  // read as the next answer.
  bool m_HasUnreadBody = false;
  bool m_Foreign = false;
  bool m_Stopped = false;
};

} // namespace mangocart

#endif
