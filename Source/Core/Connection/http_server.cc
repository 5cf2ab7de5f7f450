#include "Connection/http_server.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <cctype>
#include <utility>

#include "Connection/system_address.h"

namespace camphorferry::connection {

namespace {

constexpr int kInternalServerError = 500;

const char* MethodName(evhttp_cmd_type type) {
  switch (type) {
    case EVHTTP_REQ_GET:
      return "GET";
    case EVHTTP_REQ_POST:
      return "POST";
    case EVHTTP_REQ_PUT:
      return "PUT";
    case EVHTTP_REQ_DELETE:
      return "DELETE";
    default:
      return "OTHER";
  }
}

std::string LowerCase(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char letter) {
                   return static_cast<char>(std::tolower(letter));
                 });
  return text;
}

HttpFields ReadHeaders(evhttp_request* request) {
  HttpFields fields;
  const evkeyvalq* headers = evhttp_request_get_input_headers(request);
  for (const evkeyval* entry = headers->tqh_first; entry != nullptr;
       entry = entry->next.tqe_next) {
    fields[LowerCase(entry->key)] = entry->value;
  }
  return fields;
}

HttpFields ReadQuery(const char* query) {
  HttpFields fields;
  if (query == nullptr) return fields;
  evkeyvalq pairs{};
  if (evhttp_parse_query_str(query, &pairs) != 0) return fields;
  for (const evkeyval* entry = pairs.tqh_first; entry != nullptr;
       entry = entry->next.tqe_next) {
    fields[entry->key] = entry->value;
  }
  evhttp_clear_headers(&pairs);
  return fields;
}

std::string ReadBody(evhttp_request* request) {
  evbuffer* buffer = evhttp_request_get_input_buffer(request);
  std::string body(evbuffer_get_length(buffer), '\0');
  evbuffer_remove(buffer, body.data(), body.size());
  return body;
}

}  // namespace

ListenError::ListenError(const SocketAddress& address)
    : Error("cannot listen on " + ToString(address)) {}

HttpResponder::HttpResponder(evhttp_request* request,
                             std::shared_ptr<bool> server_alive,
                             std::shared_ptr<std::size_t> active)
    : request(request),
      server_alive(std::move(server_alive)),
      active(std::move(active)) {
  ++*this->active;
}

HttpResponder::~HttpResponder() {
  if (this->request == nullptr) return;
  HttpResponse response;
  response.status = kInternalServerError;
  this->Send(response);
}

void HttpResponder::Send(const HttpResponse& response) {
  if (this->request == nullptr) return;
  evhttp_request* pending = std::exchange(this->request, nullptr);
  --*this->active;
  if (!*this->server_alive) return;
  evkeyvalq* headers = evhttp_request_get_output_headers(pending);
  for (const auto& [name, value] : response.headers) {
    evhttp_add_header(headers, name.c_str(), value.c_str());
  }
  if (response.close) evhttp_add_header(headers, "Connection", "close");
  evbuffer* body = evhttp_request_get_output_buffer(pending);
  evbuffer_add(body, response.body.data(), response.body.size());
  evhttp_send_reply(pending, response.status, nullptr, nullptr);
}

void HttpResponder::CloseWithoutResponse() {
  if (this->request == nullptr) return;
  evhttp_connection* connection =
      *this->server_alive ? evhttp_request_get_connection(this->request)
                          : nullptr;
  if (connection != nullptr) {
    bufferevent* stream = evhttp_connection_get_bufferevent(connection);
    shutdown(bufferevent_getfd(stream), SHUT_RDWR);
  }
  // Libevent frees a request only after a response was sent. This one fails to
  // be written, because the socket is shut down.
  HttpResponse unwritable;
  unwritable.status = kInternalServerError;
  this->Send(unwritable);
}

HttpServer::HttpServer(EventLoop* loop, const SocketAddress& address,
                       const HttpServerLimits& limits, Handler handler)
    : server(evhttp_new(loop->Base())), handler(std::move(handler)) {
  evhttp_set_max_headers_size(this->server,
                              static_cast<ev_ssize_t>(limits.max_header_bytes));
  evhttp_set_max_body_size(this->server,
                           static_cast<ev_ssize_t>(limits.max_body_bytes));
  const auto seconds =
      std::chrono::duration_cast<std::chrono::seconds>(limits.idle_timeout);
  evhttp_set_timeout(this->server, static_cast<int>(seconds.count()));
  evhttp_set_allowed_methods(this->server, EVHTTP_REQ_GET | EVHTTP_REQ_POST |
                                               EVHTTP_REQ_PUT |
                                               EVHTTP_REQ_DELETE);
  evhttp_set_gencb(this->server, OnRequest, this);
  this->socket = evhttp_bind_socket_with_handle(
      this->server, address.ip.c_str(), address.port);
  if (this->socket == nullptr) {
    evhttp_free(this->server);
    throw ListenError(address);
  }
  this->port = LocalPort(evhttp_bound_socket_get_fd(this->socket));
}

HttpServer::~HttpServer() {
  *this->alive = false;
  for (const auto& [connection, id] : this->connections) {
    evhttp_connection_set_closecb(connection, nullptr, nullptr);
  }
  evhttp_free(this->server);
}

void HttpServer::StopListening() {
  if (this->socket == nullptr) return;
  evhttp_del_accept_socket(this->server, this->socket);
  this->socket = nullptr;
}

void HttpServer::OnRequest(evhttp_request* request, void* context) {
  auto* self = static_cast<HttpServer*>(context);
  HttpRequest received;
  received.method = MethodName(evhttp_request_get_command(request));
  const evhttp_uri* uri = evhttp_request_get_evhttp_uri(request);
  const char* path = uri == nullptr ? nullptr : evhttp_uri_get_path(uri);
  received.path = path == nullptr ? "" : path;
  received.query =
      ReadQuery(uri == nullptr ? nullptr : evhttp_uri_get_query(uri));
  received.headers = ReadHeaders(request);
  received.body = ReadBody(request);
  received.connection_id = self->ConnectionId(request);
  auto responder =
      std::make_shared<HttpResponder>(request, self->alive, self->active);
  self->handler(std::move(received), std::move(responder));
}

void HttpServer::OnClose(evhttp_connection* connection, void* context) {
  static_cast<HttpServer*>(context)->connections.erase(connection);
}

std::uint64_t HttpServer::ConnectionId(evhttp_request* request) {
  evhttp_connection* connection = evhttp_request_get_connection(request);
  const auto [entry, added] =
      this->connections.try_emplace(connection, this->next_connection_id);
  if (added) {
    ++this->next_connection_id;
    evhttp_connection_set_closecb(connection, OnClose, this);
  }
  return entry->second;
}

}  // namespace camphorferry::connection
